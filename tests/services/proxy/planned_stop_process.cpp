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

// An instance that stops closes its port while callers' connections wait to be accepted: it is
// paused until the time to close has passed, so both happen in the same moment. Guards against
// requests that are cut off without an answer although their connection was open.
TEST(planned_stops, answer_the_requests_on_connections_that_wait_to_be_accepted) {
  constexpr int callers = 8;
  // Longer than an instance goes on accepting after its signal to stop.
  constexpr auto pause = 4s;
  proxy_deployment deployment;
  ASSERT_TRUE(deployment.start());
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

} // namespace

} // namespace catkinlanding::testing
