#include <libraries/proxy/endpoint_rate_limiter.h>
#include <libraries/proxy/rate_coordinator.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{};
endpoint_incarnation const source{{"endpoint"}, 1};

class rate_limiters : public ::testing::Test {
protected:
  [[nodiscard]] bool may_send(base::monotonic_time now, bool is_connected = true) const {
    return m_limiter.next_send_at(source, is_connected, now) <= now;
  }

  endpoint_rate_limiter m_limiter{{}};
};

TEST_F(rate_limiters, send_nothing_between_a_statement_and_the_grant) {
  EXPECT_TRUE(may_send(start));
  EXPECT_EQ(m_limiter.note_answer(source, 2.0, start, start),
            endpoint_rate_limiter::change::limited);
  EXPECT_TRUE(m_limiter.awaits_grant(start));
  EXPECT_FALSE(may_send(start + 300ms));
  m_limiter.apply({{.source = source, .rate = 2.0, .share = 1.0}}, start + 300ms);
  EXPECT_FALSE(m_limiter.awaits_grant(start + 300ms));
  EXPECT_FALSE(may_send(start + 1200ms));
  EXPECT_TRUE(may_send(start + 1300ms));
}

TEST_F(rate_limiters, save_up_nothing_while_idle) {
  rate_grant const grant{.source = source, .rate = 2.0, .share = 1.0};
  m_limiter.apply({grant}, start);
  m_limiter.apply({grant}, start + 60s);
  ASSERT_TRUE(may_send(start + 60s));
  m_limiter.note_sent(source, start + 60s);
  EXPECT_FALSE(may_send(start + 60s + 900ms));
  EXPECT_TRUE(may_send(start + 61s));
}

TEST_F(rate_limiters, start_at_a_distance_when_a_share_is_taken_over) {
  m_limiter.apply({{.source = source, .rate = 2.0, .share = 0.0}}, start);
  EXPECT_FALSE(may_send(start + 60s));
  m_limiter.apply({{.source = source, .rate = 2.0, .share = 1.0}}, start + 60s);
  EXPECT_FALSE(may_send(start + 60s + 900ms));
  EXPECT_TRUE(may_send(start + 61s));
}

// A new leader that had not heard of a cold endpoint yet named no limit for it, and all instances
// sent without one.
TEST_F(rate_limiters, keep_a_share_that_a_new_leader_does_not_know_yet) {
  m_limiter.apply({{.source = source, .rate = 2.0, .share = 0.0}}, start);
  m_limiter.apply({}, start + 1s, false);
  EXPECT_FALSE(may_send(start + 1s));
  m_limiter.apply({}, start + 3s, false);
  EXPECT_TRUE(may_send(start + 3s));
}

TEST_F(rate_limiters, end_a_share_that_a_leader_who_knows_all_does_not_name) {
  m_limiter.apply({{.source = source, .rate = 2.0, .share = 0.0}}, start);
  m_limiter.apply({}, start + 1s);
  EXPECT_TRUE(may_send(start + 1s));
}

TEST_F(rate_limiters, use_a_part_of_the_rate_without_a_leader) {
  m_limiter.set_instances(10);
  m_limiter.apply({{.source = source, .rate = 2.0, .share = 0.0}}, start);
  EXPECT_FALSE(may_send(start + 3600s));
  EXPECT_FALSE(may_send(start + 4900ms, false));
  EXPECT_TRUE(may_send(start + 15s, false));
}

TEST_F(rate_limiters, tell_the_leader_when_an_endpoint_states_no_rate_any_more) {
  EXPECT_EQ(m_limiter.note_answer(source, 2.0, start, start + 1s),
            endpoint_rate_limiter::change::limited);
  // The answer to a request that was sent before says nothing.
  EXPECT_EQ(m_limiter.note_answer(source, std::nullopt, start + 500ms, start + 2s),
            endpoint_rate_limiter::change::none);
  EXPECT_EQ(m_limiter.note_answer(source, std::nullopt, start + 2s, start + 3s),
            endpoint_rate_limiter::change::lifted);
  auto const notices = m_limiter.notices(start + 4s);
  ASSERT_EQ(notices.size(), 1U);
  EXPECT_FALSE(notices.front().rate.has_value());
  EXPECT_EQ(notices.front().age, 1s);
  m_limiter.sweep(start + 6s);
  EXPECT_TRUE(m_limiter.notices(start + 6s).empty());
  EXPECT_TRUE(may_send(start + 6s));
}

TEST_F(rate_limiters, forget_nothing_of_one_start_for_another) {
  std::ignore = m_limiter.note_answer(source, 2.0, start, start);
  endpoint_incarnation const restarted{source.endpoint, 2};
  EXPECT_LE(m_limiter.next_send_at(restarted, true, start), start);
  EXPECT_FALSE(may_send(start));
}

TEST(rate_coordinators, divide_a_rate_among_few_instances) {
  rate_coordinator coordinator({});
  double sum = 0.0;
  std::size_t holders = 0;
  for (int i = 0; i < 20; ++i) {
    coordinator.report({std::to_string(i)}, {{.source = source, .rate = 1.5}}, start + 10s);
  }
  for (int i = 0; i < 20; ++i) {
    auto const grants = coordinator.grants_for({std::to_string(i)}, start + 10s);
    ASSERT_EQ(grants.size(), 1U);
    sum += grants.front().share;
    holders += grants.front().share > 0.0 ? 1 : 0;
  }
  EXPECT_DOUBLE_EQ(sum, 1.5);
  EXPECT_EQ(holders, 3U);
}

TEST(rate_coordinators, follow_the_latest_statement) {
  rate_coordinator coordinator({});
  coordinator.report({"a"}, {{.source = source, .rate = 3.0, .age = 1s}}, start + 10s);
  coordinator.report({"b"}, {{.source = source, .rate = 7.0, .age = 2s}}, start + 10s);
  EXPECT_DOUBLE_EQ(coordinator.grants_for({"c"}, start + 10s).front().rate, 3.0);
  coordinator.report({"b"}, {{.source = source, .rate = std::nullopt}}, start + 11s);
  EXPECT_TRUE(coordinator.grants_for({"c"}, start + 11s).empty());
  coordinator.report({"a"}, {{.source = {source.endpoint, 0}, .rate = 1.0}}, start + 12s);
  EXPECT_TRUE(coordinator.grants_for({"c"}, start + 12s).empty());
}

TEST(rate_coordinators, give_the_share_of_a_lost_instance_to_others) {
  rate_coordinator coordinator({});
  coordinator.report({"a"}, {{.source = source, .rate = 1.0}}, start + 10s);
  EXPECT_DOUBLE_EQ(coordinator.grants_for({"a"}, start + 10s).front().share, 1.0);
  coordinator.report({"b"}, {{.source = source, .rate = 1.0}}, start + 11s);
  EXPECT_DOUBLE_EQ(coordinator.grants_for({"b"}, start + 11s).front().share, 0.5);
  coordinator.release({"a"});
  EXPECT_DOUBLE_EQ(coordinator.grants_for({"b"}, start + 11s).front().share, 1.0);
  EXPECT_DOUBLE_EQ(coordinator.grants_for({"a"}, start + 11s).front().share, 0.0);
}

TEST(rate_coordinators, grant_nothing_while_grants_of_a_former_leader_may_hold) {
  rate_coordinator coordinator({});
  coordinator.begin_term(start + 10s);
  coordinator.report({"a"}, {{.source = source, .rate = 1.0}}, start + 10s);
  EXPECT_DOUBLE_EQ(coordinator.grants_for({"a"}, start + 11s).front().share, 0.0);
  EXPECT_DOUBLE_EQ(coordinator.grants_for({"a"}, start + 12s).front().share, 1.0);
}

TEST(rate_coordinators, forget_a_statement_that_nobody_sees_again) {
  rate_coordinator coordinator({});
  coordinator.report({"a"}, {{.source = source, .rate = 1.0}}, start);
  coordinator.tick(start + 29s);
  EXPECT_FALSE(coordinator.grants_for({"a"}, start + 29s).empty());
  coordinator.tick(start + 30s);
  EXPECT_TRUE(coordinator.grants_for({"a"}, start + 30s).empty());
}

} // namespace

} // namespace catkinlanding::proxy
