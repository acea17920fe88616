#include <tests/support/catalogue_builder.h>
#include <tests/support/deployment.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <thread>

namespace catkinlanding::testing {

namespace {

using nlohmann::json;

/// Required limits: after these times an endpoint that left without deregistering, or that was
/// killed, must get no new work.
constexpr std::chrono::seconds max_time_after_leaving{3};
constexpr std::chrono::seconds max_time_after_last_announcement{5};
constexpr std::size_t call_count = 30;

class endpoint_loss : public ::testing::Test {
protected:
  void SetUp() override {
    m_deployment.start_all_instances();
    m_deployment.found();
    auto const applied = m_deployment.apply("a1", catalogue_builder().add_service("orders").text());
    ASSERT_EQ(applied.exit_code, 0) << applied.output;
    m_deployment.start_endpoint(
        {.id = "shop-1", .zone = "a", .arguments = {"--service=orders", "--lose-goodbye"}});
    m_deployment.start_endpoint({.id = "shop-2", .zone = "a", .arguments = {"--service=orders"}});
    ASSERT_TRUE(eventually([&] { return all_entries_know_both_endpoints(); }));
    ASSERT_TRUE(eventually([&] {
      call_all();
      return executed_call_count("shop-1") > 0 && executed_call_count("shop-2") > 0;
    }));
  }

  [[nodiscard]] bool all_entries_know_both_endpoints() const {
    return std::ranges::all_of(m_entries, [&](auto const& id) {
      return m_deployment.status(id).value("endpoints", 0) == 2;
    });
  }

  /// Sends calls through all entry instances in turn. Returns how many succeeded.
  std::size_t call_all() const {
    std::size_t answered = 0;
    for (std::size_t i = 0; i < call_count; ++i) {
      auto const answer = exchange(m_deployment.caller_port(m_entries[i % m_entries.size()]),
                                   {.path = "/services/orders/hats/7",
                                    .body = "felt",
                                    .headers = {{"Authorization", "Bearer guild-key"}}});
      answered += answer.status == 200 ? 1 : 0;
    }
    return answered;
  }

  /// The number of calls that the endpoint says it executed.
  [[nodiscard]] std::size_t executed_call_count(std::string const& endpoint) const {
    auto const answer = exchange(m_deployment.endpoint_port(endpoint), {.path = "/runs"});
    auto const runs = json::parse(answer.body, nullptr, /*allow_exceptions=*/false);
    return runs.is_object() ? runs.size() : 0;
  }

  std::vector<std::string> m_entries{"a1", "a2", "a3"};
  deployment m_deployment{{{.id = "a1", .zone = "a", .is_control = true},
                           {.id = "a2", .zone = "a"},
                           {.id = "a3", .zone = "a"}}};
};

TEST_F(endpoint_loss, sends_no_new_calls_after_a_lost_deregistration) {
  m_deployment.endpoint("shop-1").send_signal(SIGTERM);
  std::this_thread::sleep_for(max_time_after_leaving);
  auto const before = executed_call_count("shop-1");
  ASSERT_GT(before, 0U);
  EXPECT_EQ(call_all(), call_count);
  EXPECT_EQ(executed_call_count("shop-1"), before);
}

TEST_F(endpoint_loss, sends_all_calls_to_the_other_endpoint_after_a_kill) {
  m_deployment.endpoint("shop-1").kill();
  std::this_thread::sleep_for(max_time_after_last_announcement);
  auto const before = executed_call_count("shop-2");
  EXPECT_EQ(call_all(), call_count);
  EXPECT_EQ(executed_call_count("shop-2"), before + call_count);
}

TEST_F(endpoint_loss, sends_calls_to_an_endpoint_restarted_at_the_same_address) {
  m_deployment.endpoint("shop-1").kill();
  m_deployment.start_endpoint({.id = "shop-1", .zone = "a", .arguments = {"--service=orders"}});
  EXPECT_TRUE(eventually([&] {
    call_all();
    return executed_call_count("shop-1") > 0;
  }));
}

} // namespace

} // namespace catkinlanding::testing
