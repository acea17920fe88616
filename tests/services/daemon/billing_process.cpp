#include <tests/support/catalogue_builder.h>
#include <tests/support/deployment.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <cstdio>

namespace catkinlanding::testing {

namespace {

using nlohmann::json;

class billing : public ::testing::Test {
protected:
  void SetUp() override {
    m_deployment.start_all_instances();
    m_deployment.found();
    auto const applied = m_deployment.apply("a1", catalogue_builder().add_model("hat", "1").text());
    ASSERT_EQ(applied.exit_code, 0) << applied.output;
    m_deployment.start_endpoint({.id = "engine", .zone = "a", .arguments = {"--versions=hat/1"}});
    ASSERT_TRUE(eventually([&] { return m_deployment.status("a2")["endpoints"] == 1; }));
  }

  [[nodiscard]] http_response complete(std::string const& instance, std::string const& key,
                                       bool is_stream) const {
    json const body = {{"model", "hat"}, {"stream", is_stream}, {"messages", json::array()}};
    return exchange(m_deployment.caller_port(instance),
                    {.path = "/v1/chat/completions",
                     .body = body.dump(),
                     .headers = {{"Authorization", "Bearer guild-key"}, {"Idempotency-Key", key}}});
  }

  [[nodiscard]] json bills(std::string const& instance) const {
    auto const result = m_deployment.run_catkinctl(instance, {"billing", "export"});
    auto const parsed = json::parse(result.output, nullptr, /*allow_exceptions=*/false);
    return parsed.is_object() ? parsed.value("bills", json::array()) : json::array();
  }

  [[nodiscard]] command_result export_from(std::vector<std::string> const& ids) const {
    std::vector<std::string> arguments;
    for (std::size_t i = 1; i < ids.size(); ++i) {
      arguments.push_back("--instance=127.0.0.1:" +
                          std::to_string(m_deployment.operator_port(ids[i])));
    }
    arguments.insert(arguments.end(), {"billing", "export"});
    return m_deployment.run_catkinctl(ids.front(), std::move(arguments));
  }

  deployment m_deployment{{{.id = "a1", .zone = "a", .is_control = true},
                           {.id = "a2", .zone = "a"},
                           {.id = "a3", .zone = "a"},
                           {.id = "b1", .zone = "b", .is_control = true},
                           {.id = "c1", .zone = "c", .is_control = true}}};
};

TEST_F(billing, bills_survive_an_entry_killed_before_any_ledger_stored_them) {
  for (auto const* id : {"a1", "b1", "c1"}) {
    m_deployment.instance(id).kill();
  }
  EXPECT_EQ(complete("a2", "k1", false).status, 200);
  EXPECT_EQ(complete("a2", "k2", true).status, 200);
  m_deployment.instance("a2").kill();
  auto const killed_at = std::chrono::steady_clock::now();
  for (auto const* id : {"a1", "b1", "c1"}) {
    m_deployment.start_instance(id);
  }
  EXPECT_TRUE(eventually([&] { return bills("b1").size() == 2; }));
  std::chrono::duration<double> const taken = std::chrono::steady_clock::now() - killed_at;
  std::printf("bills in the ledgers %.2f s after the kill\n", taken.count());
}

TEST_F(billing, an_export_merges_the_ledgers_and_reports_whether_a_majority_answered) {
  for (auto const* key : {"k1", "k2", "k3"}) {
    EXPECT_EQ(complete("a2", key, false).status, 200);
  }
  EXPECT_TRUE(eventually([&] { return m_deployment.status("a2")["unsettled_bills"] == 0; }));
  auto const whole = export_from({"a1", "b1", "c1"});
  EXPECT_EQ(whole.exit_code, 0);
  EXPECT_EQ(json::parse(whole.output)["bills"].size(), 3U);
  auto const one = export_from({"c1"});
  EXPECT_EQ(one.exit_code, 9);
  EXPECT_EQ(json::parse(one.output)["has_majority"], false);
  m_deployment.instance("a1").kill();
  std::filesystem::remove_all(m_deployment.data_folder("a1"));
  // Each bill is stored on two disks, so the two remaining ledgers together hold all bills.
  auto const remaining = export_from({"a1", "b1", "c1"});
  EXPECT_EQ(remaining.exit_code, 0);
  EXPECT_EQ(json::parse(remaining.output)["bills"].size(), 3U);
  EXPECT_EQ(json::parse(remaining.output)["answered"], json({"b1", "c1"}));
}

TEST_F(billing, a_resend_after_a_kill_is_billed_once) {
  EXPECT_EQ(complete("a2", "k1", false).status, 200);
  m_deployment.instance("a2").kill();
  EXPECT_EQ(complete("a3", "k1", false).status, 200);
  EXPECT_EQ(complete("a3", "k2", false).status, 200);
  EXPECT_TRUE(eventually([&] { return bills("b1").size() == 2; }));
  m_deployment.start_instance("a2");
  EXPECT_TRUE(eventually([&] { return complete("a2", "k1", true).status == 200; }));
  EXPECT_EQ(complete("a2", "k3", true).status, 200);
  EXPECT_TRUE(eventually([&] { return bills("c1").size() == 3; }));
}

} // namespace

} // namespace catkinlanding::testing
