#include <tests/support/deployment.h>
#include <tests/support/proxy_deployment.h>
#include <tests/support/raw_connection.h>

#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <thread>
#include <vector>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;

/// Shows the entry instance how long answers of the route take. What it knows nothing of it does
/// not begin while it stops.
bool show_answer_time(proxy_deployment const& deployment) {
  http_request const request{.method = "POST", .path = "/once/answer", .body = {}, .headers = {}};
  return deployment.send_to_entry("entry-1", request).status == 200;
}

// An instance that stops closes its port while callers' connections wait to be accepted: it is
// paused until the time to close has passed, so both happen in the same moment. Guards against
// requests that are cut off without an answer although their connection was open.
TEST(planned_stops, answer_the_requests_on_connections_that_wait_to_be_accepted) {
  constexpr int callers = 8;
  // Longer than an instance goes on accepting after its signal to stop.
  constexpr auto pause = 4s;
  proxy_deployment deployment;
  ASSERT_TRUE(deployment.start());
  ASSERT_TRUE(show_answer_time(deployment));
  auto& entry = deployment.process("entry-1");
  entry.send_signal(SIGTERM);
  ASSERT_TRUE(eventually([&] {
    return deployment.log("entry-1").find("event=process stopping") != std::string::npos;
  }));
  entry.send_signal(SIGSTOP);
  std::vector<std::unique_ptr<raw_connection>> connections;
  for (int i = 0; i < callers; ++i) {
    auto& caller = connections.emplace_back(
        std::make_unique<raw_connection>(deployment.caller_port(), deployment.ip_of("entry-1")));
    ASSERT_TRUE(caller->send("POST /once/answer HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: id-" +
                             std::to_string(i) +
                             "\r\nAuthorization: Bearer key-ann\r\nContent-Length: 0\r\n\r\n"));
  }
  std::this_thread::sleep_for(pause);
  entry.send_signal(SIGCONT);
  for (auto const& caller : connections) {
    EXPECT_EQ(caller->read_until("echo ", 10s).substr(0, 12), "HTTP/1.1 200");
  }
}

// A request is taken during the stop of its entry instance, and its endpoint does not answer before
// the process ends. Guards against a caller whose connection is cut without an answer (LOST). The
// request may have been executed, so the answer must not deny it.
TEST(planned_stops, answer_the_requests_that_come_during_the_grace_period_before_it_ends) {
  proxy_deployment deployment;
  ASSERT_TRUE(deployment.start());
  ASSERT_TRUE(show_answer_time(deployment));
  deployment.process("entry-1").send_signal(SIGTERM);
  ASSERT_TRUE(eventually([&] {
    return deployment.log("entry-1").find("event=process stopping") != std::string::npos;
  }));
  raw_connection const caller(deployment.caller_port(), deployment.ip_of("entry-1"));
  ASSERT_TRUE(caller.send("POST /once/hang HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: id-1\r\n"
                          "Deadline-Ms: 30000\r\nAuthorization: Bearer key-ann\r\n"
                          "Content-Length: 0\r\n\r\n"));
  EXPECT_EQ(caller.read_until("\r\n\r\n", 15s).substr(0, 12), "HTTP/1.1 504");
  EXPECT_EQ(deployment.requests_executed_for("id-1").size(), 1U);
}

} // namespace

} // namespace catkinlanding::testing
