#include <tests/support/proxy_deployment.h>
#include <tests/support/raw_connection.h>

#include <gtest/gtest.h>

#include <thread>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;

std::string header(std::string const& id, std::string const& deadline_ms) {
  return "POST /once/answer HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: " + deadline_ms +
         "\r\nAuthorization: Bearer key-ann\r\nContent-Length: 4\r\n\r\n";
}

class slow_bodies : public ::testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(m_deployment.start()); }

  proxy_deployment m_deployment;
};

// Guards against endpoints that are given time which the caller no longer has: a part of it has
// passed while the body came.
TEST_F(slow_bodies, use_up_the_time_of_their_callers) {
  raw_connection const caller(m_deployment.caller_port(), m_deployment.ip_of("entry-1"));
  ASSERT_TRUE(caller.send(header("id-1", "19000")));
  std::this_thread::sleep_for(1s);
  ASSERT_TRUE(caller.send("body"));
  ASSERT_EQ(caller.read_until("body", 20s).substr(0, 12), "HTTP/1.1 200");
  auto const executed = m_deployment.requests_executed_for("id-1");
  ASSERT_EQ(executed.size(), 1U);
  EXPECT_LE(std::stol(executed.front().headers.at("Deadline-Ms")), 18'000);
}

// Guards against a connection that is cut while its caller still sends and still waits.
TEST_F(slow_bodies, may_come_as_long_as_their_callers_wait) {
  raw_connection const caller(m_deployment.caller_port(), m_deployment.ip_of("entry-1"));
  ASSERT_TRUE(caller.send(header("id-1", "60000")));
  std::this_thread::sleep_for(15500ms);
  // The endpoints have been silent since the start.
  ASSERT_EQ(m_deployment.announce(m_deployment.endpoint(0)).status, 200);
  ASSERT_TRUE(caller.send("body"));
  EXPECT_EQ(caller.read_until("body", 20s).substr(0, 12), "HTTP/1.1 200");
}

// Guards against connections that are kept for callers whose time is over.
TEST_F(slow_bodies, are_read_no_longer_than_their_callers_wait) {
  raw_connection const caller(m_deployment.caller_port(), m_deployment.ip_of("entry-1"));
  ASSERT_TRUE(caller.send(header("id-1", "500")));
  EXPECT_EQ(caller.read_until("", 10s), "");
  EXPECT_TRUE(caller.is_closed());
}

} // namespace

} // namespace catkinlanding::testing
