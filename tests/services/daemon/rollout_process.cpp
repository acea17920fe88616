#include <libraries/operators/reply.h>
#include <tests/support/operator_calls.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <fstream>
#include <thread>

namespace catkinlanding::testing {

namespace {

using nlohmann::json;

constexpr char const* catalogue = R"({
  "customers": [{"id": "guild", "owner": "ops", "class": "interactive", "keys": ["guild-key"],
                 "allow": [{"model": "hat"}]}],
  "classes": [{"id": "interactive", "owner": "ops", "class": "interactive", "deadline_ms": 20000}],
  "models": [{"id": "hat", "owner": "ops", "class": "interactive"}],
  "versions": [{"model": "hat", "id": "1", "owner": "ops", "class": "interactive",
                "price_per_thousand_tokens": 1000},
               {"model": "hat", "id": "2", "owner": "ops", "class": "interactive",
                "standing": "trial", "exposure_permille": 0, "price_per_thousand_tokens": 500}]
})";

constexpr char const* plan = R"({
  "model": "hat", "version": "2", "old_version": "1",
  "steps": [{"exposure_permille": 300, "least_ms": 1000},
            {"exposure_permille": 600, "least_ms": 1000},
            {"exposure_permille": 1000, "least_ms": 1000}],
  "bounds": {"least_answers": 5, "step_excess_permille": 300, "abort_excess_permille": 400}
})";

class rollout : public ::testing::Test {
protected:
  void SetUp() override {
    m_deployment.start_all_instances();
    m_deployment.found();
    ASSERT_EQ(m_deployment.apply("a1", catalogue).exit_code, 0);
  }

  void TearDown() override {
    m_is_over = true;
    if (m_callers.joinable()) {
      m_callers.join();
    }
  }

  /// Starts an engine with both versions, and sends requests through every instance until the test
  /// ends.
  void start_traffic(std::vector<std::string> const& further_arguments) {
    std::vector<std::string> arguments{"--versions=hat/1,hat/2"};
    arguments.insert(arguments.end(), further_arguments.begin(), further_arguments.end());
    m_deployment.start_endpoint({.id = "engine", .zone = "a", .arguments = arguments});
    ASSERT_TRUE(eventually([&] {
      return std::ranges::all_of(
          m_ids, [&](auto const& id) { return m_deployment.status(id)["endpoints"] == 1; });
    }));
    m_callers = std::thread([this] {
      while (!m_is_over) {
        for (auto const& id : m_ids) {
          static_cast<void>(exchange(m_deployment.caller_port(id),
                                     {.path = "/v1/chat/completions",
                                      .body = R"({"model": "hat", "messages": []})",
                                      .headers = {{"Authorization", "Bearer guild-key"}}}));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
      }
    });
  }

  void start_rollout() {
    auto const path = m_deployment.folder() / "plan.json";
    std::ofstream(path) << plan;
    auto const started = m_deployment.run_catkinctl("a1", {"rollout", "start", path.string()});
    ASSERT_EQ(started.exit_code, 0) << started.output;
  }

  /// The status of the only rollout; an empty object while there is no leader.
  [[nodiscard]] json rollout_status() const {
    for (auto const& id : m_ids) {
      auto const result = m_deployment.run_catkinctl(id, {"rollout", "status"});
      auto const parsed = json::parse(result.output, nullptr, /*allow_exceptions=*/false);
      if (result.exit_code == 0 && parsed.is_object() && !parsed["rollouts"].empty()) {
        return parsed["rollouts"][0];
      }
    }
    return json::object();
  }

  [[nodiscard]] bool reaches_state(char const* state, char const* reason) const {
    return eventually([&] {
      auto const seen = rollout_status();
      return seen.value("state", "") == state && seen.value("reason", "") == reason;
    });
  }

  [[nodiscard]] bool reaches_step(int step) const {
    return eventually([&] { return rollout_status().value("steps_taken", 0) >= step; });
  }

  [[nodiscard]] json version_entry() const {
    auto const result = m_deployment.run_catkinctl("a1", {"catalogue", "show"});
    return json::parse(result.output)["versions"][1];
  }

  std::vector<std::string> m_ids{"a1", "a2", "a3"};
  std::atomic<bool> m_is_over = false;
  std::thread m_callers;
  deployment m_deployment{{{.id = "a1", .zone = "a", .is_control = true},
                           {.id = "a2", .zone = "a", .is_control = true},
                           {.id = "a3", .zone = "a", .is_control = true}}};
};

TEST_F(rollout, continues_when_the_leader_is_killed_and_when_all_instances_restart) {
  start_traffic({});
  start_rollout();
  ASSERT_TRUE(reaches_step(1));
  auto const killed = leader_of(m_deployment, m_ids);
  ASSERT_TRUE(killed);
  m_deployment.instance(*killed).kill();
  ASSERT_TRUE(reaches_step(2));
  m_deployment.start_instance(*killed);
  for (auto const& id : m_ids) {
    m_deployment.instance(id).kill();
  }
  m_deployment.start_all_instances();
  EXPECT_TRUE(reaches_state("done", "none"));
  EXPECT_EQ(version_entry()["standing"], "settled");
}

TEST_F(rollout, rolls_back_when_the_new_version_fails) {
  start_traffic({"--failing-versions=2"});
  start_rollout();
  EXPECT_TRUE(reaches_state("aborted", "turned_worse"));
  auto const version = version_entry();
  EXPECT_EQ(version["standing"], "trial");
  EXPECT_EQ(version["exposure_permille"], 0);
  EXPECT_EQ(rollout_status()["steps_taken"], 1);
  EXPECT_EQ(m_deployment.run_catkinctl("a2", {"rollout", "resume", "hat"}).exit_code, 6);
}

TEST_F(rollout, follows_operator_commands) {
  start_rollout();
  ASSERT_TRUE(reaches_step(1));
  EXPECT_EQ(m_deployment.run_catkinctl("a2", {"rollout", "pause", "hat"}).exit_code, 0);
  EXPECT_TRUE(reaches_state("paused", "operator_request"));
  EXPECT_EQ(
      m_deployment.run_catkinctl("a3", {"--base-revision=1", "rollout", "resume", "hat"}).exit_code,
      5);
  EXPECT_EQ(m_deployment.run_catkinctl("a3", {"rollout", "resume", "hat"}).exit_code, 0);
  EXPECT_TRUE(reaches_state("running", "none"));
  EXPECT_EQ(m_deployment.apply("a1", catalogue).exit_code, 0);
  EXPECT_TRUE(reaches_state("paused", "overridden"));
  EXPECT_EQ(m_deployment.run_catkinctl("a1", {"rollout", "abort", "hat"}).exit_code, 0);
  EXPECT_TRUE(reaches_state("aborted", "operator_request"));
}

} // namespace

} // namespace catkinlanding::testing
