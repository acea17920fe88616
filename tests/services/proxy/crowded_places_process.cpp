#include <tests/support/process_memory.h>
#include <tests/support/proxy_deployment.h>
#include <tests/support/raw_connection.h>

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t descriptor_limit = 256;
/// Longer than an instance lets a caller wait for a place.
constexpr auto answer_time = 10s;

std::string request_for(std::string const& path, std::string const& id) {
  return "GET " + path +
         " HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer key-ann\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: 60000\r\n\r\n";
}

/// An entry instance all of whose places for connections are taken by requests in flight.
class crowded_places : public ::testing::Test {
protected:
  void SetUp() override {
    m_deployment.use_descriptors("entry-1", descriptor_limit);
    ASSERT_TRUE(m_deployment.start());
    m_deployment.keep_announcing();
    ASSERT_NO_FATAL_FAILURE(take_all_places());
  }

  /// Opens a connection and sends a request whose answer stops until `release`.
  std::unique_ptr<raw_connection> open_request() {
    auto made =
        std::make_unique<raw_connection>(m_deployment.caller_port(), m_deployment.ip_of("entry-1"));
    made->send(request_for("/stream/slow-stream", "a-" + std::to_string(++m_requests)));
    return made;
  }

  static bool is_served(raw_connection const& connection) {
    return connection.read_until("\r\n\r\n", answer_time).starts_with("HTTP/1.1 200");
  }

  void release() {
    m_deployment.endpoint(0).release();
    m_deployment.endpoint(1).release();
  }

  proxy_deployment m_deployment;

private:
  /// Opens connections until one is refused, and closes that one.
  void take_all_places() {
    while (m_served.size() < descriptor_limit) {
      auto made = open_request();
      if (!is_served(*made)) {
        return;
      }
      m_served.push_back(std::move(made));
    }
    FAIL() << "no connection was refused";
  }

  std::vector<std::unique_ptr<raw_connection>> m_served;
  int m_requests = 0;
};

// Guards against a caller that is refused at the moment in which every connection has a request in
// flight, although some of these end within milliseconds.
TEST_F(crowded_places, are_waited_for) {
  raw_connection const caller(m_deployment.caller_port(), m_deployment.ip_of("entry-1"));
  ASSERT_TRUE(caller.send(request_for("/again/answer", "b-1")));
  release();
  EXPECT_TRUE(is_served(caller));
}

// Guards against connections beyond the limit that give way to each other, so that every second one
// is served beyond it.
TEST_F(crowded_places, are_not_exceeded) {
  constexpr std::size_t callers = 32;
  std::vector<std::unique_ptr<raw_connection>> others;
  for (std::size_t i = 0; i < callers; ++i) {
    others.push_back(open_request());
  }
  std::size_t served = 0;
  for (auto const& other : others) {
    served += is_served(*other) ? 1 : 0;
  }
  EXPECT_EQ(served, 0U);
  EXPECT_LT(open_descriptors_of(m_deployment.process("entry-1").id()), descriptor_limit);
}

} // namespace

} // namespace catkinlanding::testing
