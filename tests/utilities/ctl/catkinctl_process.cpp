#include <tests/support/catalogue_builder.h>
#include <tests/support/deployment.h>
#include <tests/support/response_dropping_proxy.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>

namespace catkinlanding::testing {

namespace {

using nlohmann::json;

// Exit codes of catkinctl.
constexpr int done = 0;
constexpr int not_in_force = 4;
constexpr int conflict = 5;
constexpr int refused = 6;
constexpr int unreachable = 8;

class catkinctl : public ::testing::Test {
protected:
  void SetUp() override {
    m_deployment.start_all_instances();
    m_deployment.found();
    std::ofstream(m_file) << catalogue_builder().add_model("hat", "1").text();
  }

  /// Runs the tool against the instances at these ports, in this order.
  [[nodiscard]] static command_result run(std::vector<int> const& ports,
                                          std::vector<std::string> const& arguments) {
    std::vector<std::string> all{CATKINLANDING_CTL, "--json"};
    for (auto const port : ports) {
      all.push_back("--instance=127.0.0.1:" + std::to_string(port));
    }
    all.insert(all.end(), arguments.begin(), arguments.end());
    return run_command(all);
  }

  [[nodiscard]] int port(std::string const& id) const { return m_deployment.operator_port(id); }

  deployment m_deployment{{{.id = "a1", .zone = "a", .is_control = true},
                           {.id = "a2", .zone = "a"},
                           {.id = "b1", .zone = "b"}}};
  std::string m_file = (m_deployment.folder() / "new.json").string();
};

TEST_F(catkinctl, ends_with_4_until_the_change_is_in_force_everywhere) {
  std::vector<std::string> const apply{"--wait",    "--change-id=one", "--base-revision=0",
                                       "catalogue", "apply",           m_file};
  m_deployment.instance("b1").send_signal(SIGSTOP);
  auto const pending = run({port("a1")}, apply);
  EXPECT_EQ(pending.exit_code, not_in_force) << pending.output;
  auto const report = json::parse(pending.output);
  EXPECT_EQ(report["verdict"], "accepted");
  EXPECT_EQ(report["revision"], 1);
  EXPECT_EQ(report["in_force_everywhere"], false);
  EXPECT_EQ(m_deployment.status("a2")["revision"], 1);
  m_deployment.instance("b1").send_signal(SIGCONT);
  EXPECT_TRUE(eventually([&] { return run({port("a1")}, apply).exit_code == done; }));
  EXPECT_EQ(m_deployment.status("b1")["revision"], 1);
}

TEST_F(catkinctl, tries_the_next_instance_when_one_does_not_answer) {
  auto const unused_port = free_port();
  auto const applied = run({unused_port, port("a1")}, {"--wait", "catalogue", "apply", m_file});
  EXPECT_EQ(applied.exit_code, done) << applied.output;
  EXPECT_EQ(run({unused_port}, {"status"}).exit_code, unreachable);
  // A suspended instance accepts the connection but never answers.
  m_deployment.instance("a2").send_signal(SIGSTOP);
  auto const shown = run({port("a2"), port("a1")}, {"status"});
  EXPECT_EQ(shown.exit_code, done) << shown.output;
  EXPECT_EQ(json::parse(shown.output)["instance"], "a1");
  m_deployment.instance("a2").send_signal(SIGCONT);
}

TEST_F(catkinctl, sends_a_change_again_under_the_same_id_after_a_lost_answer) {
  response_dropping_proxy const relay(port("a1"));
  auto const applied = run({relay.port(), port("a1")}, {"catalogue", "apply", m_file});
  // The tool first reads the catalogue; the second dropped response is that of the change.
  EXPECT_EQ(relay.dropped_responses(), 2);
  EXPECT_EQ(applied.exit_code, done) << applied.output;
  auto const report = json::parse(applied.output);
  EXPECT_EQ(report["verdict"], "accepted");
  EXPECT_EQ(report["revision"], 1);
  EXPECT_EQ(m_deployment.status("a1")["revision"], 1);
}

TEST_F(catkinctl, distinguishes_conflicting_changes_from_reused_ids) {
  std::vector<std::string> const first{"--change-id=one", "--base-revision=0", "catalogue", "apply",
                                       m_file};
  EXPECT_EQ(run({port("a1")}, first).exit_code, done);
  EXPECT_EQ(run({port("a1")}, first).exit_code, done);
  auto other_id = first;
  other_id[0] = "--change-id=two";
  EXPECT_EQ(run({port("a1")}, other_id).exit_code, conflict);
  std::ofstream(m_file) << catalogue_builder().add_model("hat", "2").text();
  EXPECT_EQ(run({port("a1")}, first).exit_code, refused);
  EXPECT_EQ(m_deployment.status("a1")["revision"], 1);
}

} // namespace

} // namespace catkinlanding::testing
