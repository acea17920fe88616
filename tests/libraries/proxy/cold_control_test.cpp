#include <tests/support/control_group.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;
using testing::control_group;

constexpr double cold_rate = 10.0;

/// A group whose document limits the cold endpoints of service "s".
class cold_control_groups : public ::testing::Test {
protected:
  cold_control_groups() : m_group({"a", "b", "c"}) {
    m_group.use_rate_reader([](std::string const& source) {
      return source == "limited" ? warmup::service_rates{{{"s"}, cold_rate}}
                                 : warmup::service_rates{};
    });
    m_group.found({"a", "b", "c"});
    // The first leader grants nothing for 2 s after its election.
    m_group.run(8s);
    replace_document limited;
    limited.document.revision = 1;
    limited.source = "limited";
    m_group.call("a", ++m_number, limited);
  }

  void announce(base::duration cold_left, std::uint64_t incarnation = 1,
                std::string const& id = "e") {
    endpoint_announcement announced{.id = {id}, .service = {"s"}, .zone = {"z"}};
    announced.address = {.ip = "10.0.0.1", .port = static_cast<std::uint16_t>(id.front())};
    announced.warmup_left = cold_left;
    announced.number = {.incarnation = incarnation, .sequence = ++m_sequence};
    m_group.call(m_group.leader(), ++m_number, announce_endpoint{announced});
  }

  /// The instance's shares of the endpoint; empty if it is not limited.
  [[nodiscard]] std::optional<rate_grant> grant(std::string const& entry = "entry") {
    m_group.send(entry, m_group.leader(), subscription{.is_entry = true, .report = ++m_report});
    m_group.run(100ms);
    m_group.send(entry, m_group.leader(), subscription{.is_entry = true, .report = ++m_report});
    auto const& grants = m_group.updates(entry).back().rate_grants;
    auto const found = std::ranges::find(grants, base::endpoint_id{"e"},
                                         [](auto const& one) { return one.source.endpoint; });
    return found == grants.end() ? std::nullopt : std::optional(*found);
  }

  control_group m_group;
  call_number m_number = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_report = 0;
};

// Guards against a new endpoint that gets full load before it is warm.
TEST_F(cold_control_groups, grant_the_rate_of_an_endpoint_that_starts_cold) {
  announce(4s);
  EXPECT_DOUBLE_EQ(grant().value_or(rate_grant{}).share, cold_rate);
}

// Guards against a limit that stays with a warm endpoint.
TEST_F(cold_control_groups, limit_no_endpoint_that_became_warm) {
  announce(4s);
  announce(0s);
  EXPECT_FALSE(grant().has_value());
}

// Guards against a limit that waits for an announcement which is lost.
TEST_F(cold_control_groups, limit_no_endpoint_beyond_the_time_that_it_announced) {
  announce(4s);
  m_group.run(4s);
  EXPECT_FALSE(grant().has_value());
}

// Guards against an endpoint that becomes cold while it runs, and is told to the entries by their
// next subscription only.
TEST_F(cold_control_groups, push_the_limit_of_an_endpoint_that_becomes_cold) {
  announce(0s);
  ASSERT_FALSE(grant().has_value());
  auto const updates = m_group.updates("entry").size();
  announce(4s);
  m_group.run(100ms);
  ASSERT_GT(m_group.updates("entry").size(), updates);
  EXPECT_FALSE(m_group.updates("entry").back().rate_grants.empty());
}

// Guards against a restarted endpoint that is taken for the warm one under the same id.
TEST_F(cold_control_groups, limit_a_new_start_under_the_same_id) {
  announce(0s, 1);
  ASSERT_FALSE(grant().has_value());
  announce(4s, 2);
  EXPECT_EQ(grant().value_or(rate_grant{}).source.incarnation, 2U);
}

// Guards against full load on the endpoints of a zone that was out of use.
TEST_F(cold_control_groups, limit_the_endpoints_of_a_zone_until_they_announce_themselves) {
  announce(0s);
  m_group.node("a").await_announcements({"z"});
  EXPECT_TRUE(grant().has_value());
  announce(0s);
  EXPECT_FALSE(grant().has_value());
}

// Guards against limits of a zone that touch the endpoints of others.
TEST_F(cold_control_groups, limit_no_endpoint_of_another_zone) {
  announce(0s);
  m_group.node("a").await_announcements({"y"});
  EXPECT_FALSE(grant().has_value());
}

// Guards against a later leader that does not know which endpoints are cold.
TEST_F(cold_control_groups, limit_a_cold_endpoint_after_a_leader_change) {
  announce(60s);
  m_group.run(1s);
  m_group.stop("a");
  m_group.run(3s);
  ASSERT_NE(m_group.leader(), "");
  EXPECT_DOUBLE_EQ(grant().value_or(rate_grant{}).rate, cold_rate);
}

// Guards against a higher rate of the two that hold for an endpoint.
TEST_F(cold_control_groups, grant_the_lower_of_a_stated_rate_and_that_of_a_cold_endpoint) {
  announce(4s);
  subscription stating{.is_entry = true, .report = ++m_report};
  stating.rate_notices = {{.source = {{"e"}, 1}, .rate = 2.0}};
  m_group.send("entry", "a", stating);
  EXPECT_DOUBLE_EQ(grant().value_or(rate_grant{}).rate, 2.0);
}

// Guards against an answer without a rate that lifts the limit of a cold endpoint for all.
TEST_F(cold_control_groups, keep_the_limit_when_an_answer_states_no_rate) {
  announce(4s);
  subscription stating{.is_entry = true, .report = ++m_report};
  stating.rate_notices = {{.source = {{"e"}, 1}, .rate = std::nullopt}};
  m_group.send("entry", "a", stating);
  EXPECT_DOUBLE_EQ(grant().value_or(rate_grant{}).rate, cold_rate);
}

// Guards against a cut-off instance that restarts and sends without a limit: there are no grants in
// what it gets.
TEST_F(cold_control_groups, withhold_cold_endpoints_from_instances_without_a_leader) {
  announce(60s);
  m_group.run(1s);
  m_group.isolate("c");
  m_group.run(3s);
  m_group.stop("a");
  m_group.stop("b");
  m_group.reconnect("c");
  m_group.run(3s);
  m_group.send("cut-off", "c", subscription{.is_entry = true});
  ASSERT_FALSE(m_group.last_known("cut-off").empty());
  EXPECT_TRUE(m_group.last_known("cut-off").back().endpoints.empty());
}

} // namespace

} // namespace catkinlanding::proxy
