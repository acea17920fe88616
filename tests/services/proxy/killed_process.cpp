#include <tests/support/deployment.h>
#include <tests/support/proxy_deployment.h>
#include <tests/support/raw_connection.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;

/// An entry instance that ends while it has a stream and a request without an answer.
class killed_process : public ::testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(m_deployment.start());
    m_streaming.emplace(m_deployment.caller_port(), m_deployment.ip_of("entry-1"));
    ASSERT_TRUE(m_streaming->send(request("/resume/slow-stream", "id-stream")));
    m_waiting.emplace(m_deployment.caller_port(), m_deployment.ip_of("entry-1"));
    ASSERT_TRUE(m_waiting->send(request("/once/hang", "id-hang")));
    ASSERT_FALSE(m_streaming->read_until("event-1", 5s).empty());
    // The log is written in the background.
    ASSERT_TRUE(eventually([&] { return has(m_deployment.log("entry-1"), "request=id-hang "); }));
    ASSERT_TRUE(eventually([&] { return has(m_deployment.log("entry-1"), "request=id-stream "); }));
  }

  static std::string request(std::string const& path, std::string const& id) {
    return "POST " + path + " HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: " + id +
           "\r\nDeadline-Ms: 19000\r\nAuthorization: Bearer key-ann\r\nContent-Length: 0\r\n\r\n";
  }

  static bool has(std::string const& text, std::string const& part) {
    return text.find(part) != std::string::npos;
  }

  [[nodiscard]] command_result cut(std::vector<std::string> const& options) const {
    std::vector<std::string> command{CATKINLANDING_CTL, "cut"};
    command.insert(command.end(), options.begin(), options.end());
    command.push_back(m_deployment.log_path("entry-2"));
    command.push_back(m_deployment.log_path("entry-1"));
    return run_command(command);
  }

  proxy_deployment m_deployment;
  std::optional<raw_connection> m_streaming;
  std::optional<raw_connection> m_waiting;
};

// Guards against a process that ends without a word, after which nothing names the requests it cut.
TEST_F(killed_process, has_its_open_requests_named_from_its_log) {
  m_deployment.process("entry-1").kill();
  m_deployment.start_process("entry-1");
  ASSERT_TRUE(m_deployment.await_ready("entry-1"));

  auto const all = cut({"--json"});
  ASSERT_EQ(all.exit_code, 0) << all.output;
  auto const ends = nlohmann::json::parse(all.output)["ends"];
  ASSERT_EQ(ends.size(), 1U) << all.output;
  EXPECT_EQ(ends[0]["instance"], "entry-1");
  EXPECT_EQ(ends[0]["kind"], "killed");
  ASSERT_EQ(ends[0]["requests"].size(), 2U);
  EXPECT_EQ(ends[0]["requests"][0]["request"], "id-hang");
  EXPECT_EQ(ends[0]["requests"][0]["route"], "once");
  EXPECT_EQ(ends[0]["requests"][0]["state"], "sent");
  EXPECT_GT(ends[0]["requests"][0]["left_ms"], 0);
  EXPECT_EQ(ends[0]["requests"][1]["request"], "id-stream");

  auto const one = cut({"--request=id-stream"});
  EXPECT_EQ(one.exit_code, 0);
  EXPECT_TRUE(has(one.output, "end instance=entry-1 kind=killed ")) << one.output;
  EXPECT_TRUE(has(one.output, "cut request=id-stream route=resume ")) << one.output;
  EXPECT_FALSE(has(one.output, "id-hang")) << one.output;
  EXPECT_EQ(cut({"--request=nobody"}).exit_code, 3);
}

// Guards against a process that ends by a fault, of which its log says nothing.
TEST_F(killed_process, says_in_its_log_by_which_fault_it_ended) {
  m_deployment.process("entry-1").send_signal(SIGSEGV);
  EXPECT_FALSE(m_deployment.process("entry-1").wait().has_value());

  auto const all = cut({"--json"});
  ASSERT_EQ(all.exit_code, 0) << all.output;
  auto const ends = nlohmann::json::parse(all.output)["ends"];
  ASSERT_EQ(ends.size(), 1U) << all.output;
  EXPECT_EQ(ends[0]["kind"], "failed");
  EXPECT_EQ(ends[0]["reason"], "process crashed signal=11 reason=\"-\"");
  EXPECT_EQ(ends[0]["requests"].size(), 2U);
}

} // namespace

} // namespace catkinlanding::testing
