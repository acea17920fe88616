#include <tests/support/router_fixture.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time end_of_instance = start + 7s;

TEST(stop_policies, let_everything_begin_while_the_instance_does_not_stop) {
  stop_policy const policy;
  EXPECT_TRUE(policy.may_begin({.deadline = start + 1h}, start));
  EXPECT_EQ(policy.limit(start + 1h), start + 1h);
}

// Guards against an answer that is cut because nothing was known of how long it takes.
TEST(stop_policies, begin_nothing_of_which_no_time_is_known) {
  stop_policy policy;
  policy.stop_at(end_of_instance);
  EXPECT_FALSE(policy.may_begin({.deadline = end_of_instance + 1ms}, start));
  // Its caller leaves before the instance ends.
  EXPECT_TRUE(policy.may_begin({.deadline = end_of_instance}, start));
}

TEST(stop_policies, begin_what_is_expected_to_end_before_the_instance) {
  stop_policy policy;
  policy.stop_at(end_of_instance);
  stop_policy::work const work{.learned = 2s, .deadline = start + 1h};
  EXPECT_TRUE(policy.may_begin(work, end_of_instance - 2s));
  EXPECT_FALSE(policy.may_begin(work, end_of_instance - 2s + 1us));
}

// Guards against a time that was learned while endpoints were quick, and by which answers are begun
// when they are slow.
TEST(stop_policies, believe_what_is_under_way_more_than_what_was_learned) {
  EXPECT_EQ(stop_policy::expected_time({.learned = 2s, .under_way = 2s}), 2s);
  EXPECT_EQ(stop_policy::expected_time({.learned = 2s, .under_way = 3s}), 6s);
}

class stopping_routers : public routers {
protected:
  void SetUp() override { receive_state({"a", "b"}); }

  [[nodiscard]] decision begin_patient(std::string path, base::monotonic_time now,
                                       request_number as = number) {
    auto made = facts(std::move(path));
    made.caller_timeout = 20s;
    return m_router.begin(as, made, now);
  }
};

TEST_F(stopping_routers, refuse_what_they_can_not_end_so_that_another_instance_serves_it_at_once) {
  answer_one("/once/x", 3s);
  m_router.stop_at(end_of_instance);
  auto const refused = begin_patient("/once/x", start + 3s);
  EXPECT_EQ(refusal_of(refused), refusal_kind::stopping);
  EXPECT_EQ(std::get<refusal>(refused).retry_after, base::duration::zero());
  EXPECT_EQ(std::get<refusal>(refused).route, "/once/");
}

TEST_F(stopping_routers, begin_what_they_can_end_and_end_it_before_they_do) {
  answer_one("/once/x", 100ms);
  m_router.stop_at(end_of_instance);
  auto const made = begin_patient("/once/x", start + 3s);
  ASSERT_TRUE(is_attempt(made));
  EXPECT_EQ(std::get<attempt>(made).deadline, end_of_instance);
}

TEST_F(stopping_routers, refuse_what_is_slower_now_than_it_was) {
  answer_one("/once/x", 100ms);
  ASSERT_TRUE(is_attempt(begin_patient("/once/x", start, 2)));
  m_router.stop_at(end_of_instance);
  EXPECT_EQ(refusal_of(begin_patient("/once/x", start + 3s)), refusal_kind::stopping);
}

TEST_F(stopping_routers, leave_requests_that_have_begun_their_time) {
  auto const made = begin_patient("/once/x", start);
  m_router.stop_at(end_of_instance);
  EXPECT_EQ(std::get<attempt>(made).deadline, start + 20s);
}

// Guards against a second attempt that is cut where the caller could have gone to another instance.
TEST_F(stopping_routers, refuse_a_repeat_that_they_can_not_end_if_the_request_has_not_run) {
  answer_one("/again/x", 3s);
  ASSERT_TRUE(is_attempt(begin_patient("/again/x", start)));
  m_router.stop_at(end_of_instance);
  EXPECT_EQ(refusal_of(fail(attempt_failure::not_executed, false, 3s)), refusal_kind::stopping);
}

// Guards against the time that is left to a request which began during the stop being taken for
// that of its caller: its repeats would then be begun without regard to the stop.
TEST_F(stopping_routers, judge_repeats_of_what_they_begin_alike) {
  answer_one("/again/x", 1s);
  m_router.stop_at(end_of_instance);
  ASSERT_TRUE(is_attempt(begin_patient("/again/x", start + 3s)));
  EXPECT_EQ(refusal_of(fail(attempt_failure::not_executed, false, 5s)), refusal_kind::stopping);
}

TEST_F(stopping_routers, never_deny_that_a_request_may_have_run) {
  answer_one("/again/x", 3s);
  ASSERT_TRUE(is_attempt(begin_patient("/again/x", start)));
  m_router.stop_at(end_of_instance);
  EXPECT_EQ(refusal_of(fail(attempt_failure::broken, false, 3s)), refusal_kind::outcome_unknown);
}

TEST_F(stopping_routers, go_on_with_a_stream_that_was_delivered_in_part) {
  answer_one("/resume/x", 3s);
  ASSERT_TRUE(is_attempt(begin_patient("/resume/x", start)));
  m_router.stop_at(end_of_instance);
  EXPECT_TRUE(is_attempt(fail(attempt_failure::broken, true, 3s)));
}

// Guards against requests that wait for state which an instance that ends has no use for.
TEST_F(routers, refuse_requests_at_once_if_they_stop_before_the_first_document) {
  std::ignore = m_router.tick(start);
  m_router.stop_at(end_of_instance);
  EXPECT_FALSE(m_router.wait_for_state(facts("/once/x"), start + 1ms).has_value());
  EXPECT_EQ(refusal_of(begin("/once/x")), refusal_kind::stopping);
}

TEST_F(stopping_routers, know_until_when_a_request_that_is_being_read_may_come) {
  answer_one("/once/x", 1s);
  auto made = facts("/once/x");
  made.caller_timeout = 20s;
  EXPECT_EQ(m_router.latest_begin(made, start), base::monotonic_time::max());
  m_router.stop_at(end_of_instance);
  // One answer of a second: up to three are usual.
  EXPECT_EQ(m_router.latest_begin(made, start), end_of_instance - 3s);
  made.path = "/again/x";
  EXPECT_LT(m_router.latest_begin(made, start), start);
}

} // namespace

} // namespace catkinlanding::proxy
