#include <libraries/warmup/cold_endpoints.h>

#include <gtest/gtest.h>

namespace catkinlanding::warmup {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{};
base::endpoint_id const endpoint{"e"};
base::service_id const service{"s"};

class cold_endpoint_tables : public ::testing::Test {
protected:
  cold_endpoint_tables() { m_cold.use_rates({{service, 10.0}}); }

  void sweep(base::monotonic_time now) {
    m_cold.sweep(now, [](auto const&, auto const&) { return false; });
  }

  cold_endpoints m_cold;
};

// Guards against an endpoint that stays limited after it became warm.
TEST_F(cold_endpoint_tables, count_an_endpoint_as_cold_for_the_announced_time) {
  m_cold.note(endpoint, 1, service, 3s, start);
  EXPECT_EQ(m_cold.rate_of(endpoint, 1, start + 2999ms), 10.0);
  EXPECT_EQ(m_cold.rate_of(endpoint, 1, start + 3s), std::nullopt);
  sweep(start + 3s);
  EXPECT_TRUE(m_cold.all().empty());
}

// Guards against a limit that outlasts the endpoint's own word that it is warm.
TEST_F(cold_endpoint_tables, follow_the_newest_announcement) {
  m_cold.note(endpoint, 1, service, 9s, start);
  m_cold.note(endpoint, 1, service, 0s, start + 1s);
  EXPECT_EQ(m_cold.rate_of(endpoint, 1, start + 1s), std::nullopt);
}

// Guards against an endpoint that becomes cold in the middle of its run and is not limited.
TEST_F(cold_endpoint_tables, limit_an_endpoint_that_becomes_cold_at_any_moment) {
  m_cold.note(endpoint, 1, service, 0s, start);
  m_cold.note(endpoint, 1, service, 4s, start + 60s);
  EXPECT_EQ(m_cold.rate_of(endpoint, 1, start + 61s), 10.0);
}

// Guards against a limit of a former start that is taken for one of the present start.
TEST_F(cold_endpoint_tables, tell_starts_under_one_id_apart) {
  m_cold.note(endpoint, 1, service, 4s, start);
  EXPECT_EQ(m_cold.rate_of(endpoint, 2, start), std::nullopt);
  m_cold.note(endpoint, 2, service, 4s, start);
  EXPECT_EQ(m_cold.rate_of(endpoint, 2, start), 10.0);
}

// Guards against limits where the operator's document states none.
TEST_F(cold_endpoint_tables, do_not_limit_services_without_a_rate) {
  m_cold.note(endpoint, 1, {"other"}, 4s, start);
  EXPECT_EQ(m_cold.rate_of(endpoint, 1, start), std::nullopt);
  EXPECT_TRUE(m_cold.count_by_service().empty());
}

// Guards against full load on endpoints of a zone that was out of use for long.
TEST_F(cold_endpoint_tables, limit_an_endpoint_until_it_announces_itself) {
  m_cold.await_announcement(endpoint, 1, service);
  EXPECT_EQ(m_cold.rate_of(endpoint, 1, start + 60s), 10.0);
  m_cold.note(endpoint, 1, service, 0s, start + 61s);
  EXPECT_EQ(m_cold.rate_of(endpoint, 1, start + 61s), std::nullopt);
}

} // namespace

} // namespace catkinlanding::warmup
