#include <tests/support/catalogue_builder.h>
#include <tests/support/deployment.h>
#include <tests/support/http_client.h>
#include <tests/support/raw_connection.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <sstream>

namespace catkinlanding::testing {

namespace {

/// One instance, with an engine that writes one stream for a minute.
class request_log : public ::testing::Test {
protected:
  void SetUp() override {
    m_deployment.start_instance("a1");
    m_deployment.found();
    ASSERT_EQ(m_deployment.apply("a1", catalogue_builder().add_model("hat", "1").text()).exit_code,
              0);
    m_deployment.start_endpoint(
        {.id = "engine",
         .zone = "a",
         .arguments = {"--versions=hat/1", "--tokens=600", "--token-ms=100"}});
    ASSERT_TRUE(eventually([&] { return m_deployment.status("a1")["endpoints"] == 1; }));
  }

  /// Sends a request for a stream, and returns its id when the stream has begun.
  [[nodiscard]] std::string begin_stream(raw_connection const& caller) const {
    std::string const body = R"({"model": "hat", "stream": true, "messages": []})";
    caller.send("POST /v1/chat/completions HTTP/1.1\r\nHost: a1\r\n"
                "Authorization: Bearer guild-key\r\nContent-Type: application/json\r\n"
                "Content-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    static_cast<void>(caller.read_until("data: ", std::chrono::seconds(20)));
    auto const runs =
        exchange(m_deployment.endpoint_port("engine"), {.method = "GET", .path = "/runs"});
    return nlohmann::json::parse(runs.body).items().begin().key();
  }

  [[nodiscard]] std::string log() const {
    std::ifstream const file(m_deployment.folder() / "a1.log");
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
  }

  /// Waits for a line of the log with this text.
  [[nodiscard]] bool logs(std::string const& text) const {
    return eventually([&] { return log().find(text) != std::string::npos; });
  }

  deployment m_deployment{{{.id = "a1", .zone = "a", .is_control = true}}};
};

// Guards against a lost request of which only a counter tells: nothing led from its id to its end.
TEST_F(request_log, leads_from_a_lost_request_to_what_ended_it) {
  raw_connection const caller(m_deployment.caller_port("a1"));
  auto const id = begin_stream(caller);
  m_deployment.endpoint("engine").kill();
  EXPECT_TRUE(
      logs("requests lost request=" + id +
           " reason=answer_broken begun=true attempts=1 endpoint=engine last_failure=broken"))
      << log();
}

// Guards against a process that is killed during its stop, and leaves open which requests it cut.
TEST_F(request_log, leads_from_a_killed_process_to_the_requests_that_it_cut) {
  raw_connection const caller(m_deployment.caller_port("a1"));
  auto const id = begin_stream(caller);
  m_deployment.instance("a1").send_signal(SIGTERM);
  EXPECT_TRUE(logs("daemon stopping requests=1 listed=1")) << log();
  EXPECT_TRUE(logs("daemon stopping request=" + id +
                   " progress=streaming attempts=1 endpoint=engine left_ms="))
      << log();
  m_deployment.instance("a1").kill();
  EXPECT_EQ(log().find("daemon: stopped"), std::string::npos);
}

// Guards against a process that ends by a fault, of which its log says nothing.
TEST_F(request_log, says_by_which_fault_the_process_ended) {
  m_deployment.instance("a1").send_signal(SIGABRT);
  EXPECT_FALSE(m_deployment.instance("a1").wait().has_value());
  EXPECT_NE(log().find("] [critical] process crashed signal=6 reason=\"-\"\n"), std::string::npos)
      << log();
  auto const ends =
      run_command({CATKINLANDING_CTL, "cut", (m_deployment.folder() / "a1.log").string()});
  EXPECT_EQ(ends.exit_code, 0);
  EXPECT_NE(ends.output.find("end instance=a1 kind=failed "), std::string::npos) << ends.output;
}

} // namespace

} // namespace catkinlanding::testing
