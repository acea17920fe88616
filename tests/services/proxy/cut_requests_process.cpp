#include <tests/support/deployment.h>
#include <tests/support/proxy_deployment.h>
#include <tests/support/raw_connection.h>

#include <gtest/gtest.h>

#include <csignal>
#include <sstream>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;

std::string request(std::string const& path, std::string const& id, std::size_t body_bytes = 0) {
  return "POST " + path + " HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: 19000\r\nAuthorization: Bearer key-ann\r\nContent-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n";
}

/// The first line of the log that holds the text; empty if none does.
std::string line_with(std::string const& log, std::string const& text) {
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    if (line.find(text) != std::string::npos) {
      return line;
    }
  }
  return {};
}

// Guards against a process that ends with nothing but the number of the requests that it cuts, so
// that neither these nor what their callers lost can be found.
TEST(cut_requests, are_named_with_their_state_by_the_process_that_ends) {
  proxy_deployment deployment;
  ASSERT_TRUE(deployment.start());
  auto const& ip = deployment.ip_of("entry-1");
  raw_connection const streaming(deployment.caller_port(), ip);
  ASSERT_TRUE(streaming.send(request("/resume/slow-stream", "id-stream")));
  raw_connection const waiting(deployment.caller_port(), ip);
  ASSERT_TRUE(waiting.send(request("/once/hang", "id-hang")));
  raw_connection const half_read(deployment.caller_port(), ip);
  ASSERT_TRUE(half_read.send(request("/once/answer", "id-half", 100) + "only a part"));
  ASSERT_FALSE(streaming.read_until("event-1", 5s).empty());
  ASSERT_TRUE(eventually([&] { return deployment.requests_executed_for("id-hang").size() == 1; }));

  deployment.process("entry-1").send_signal(SIGTERM);
  EXPECT_EQ(deployment.process("entry-1").wait(), 0);

  auto const log = deployment.log("entry-1");
  EXPECT_NE(line_with(log, "event=process stopping signal=15 active=2 half_read=1"), "") << log;
  auto const stream_line = line_with(log, "event=entry cut_by_stop request=id-stream ");
  EXPECT_NE(stream_line.find("route=resume state=answering endpoint=e-"), std::string::npos)
      << stream_line;
  EXPECT_NE(stream_line.find(" attempt=1 events=1 header_ms=-"), std::string::npos) << stream_line;
  auto const hang_line = line_with(log, "event=entry cut_by_stop request=id-hang ");
  EXPECT_NE(hang_line.find("route=once state=awaiting_answer endpoint=e-"), std::string::npos)
      << hang_line;
}

} // namespace

} // namespace catkinlanding::testing
