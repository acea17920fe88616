#include <tests/support/endless_requests.h>
#include <tests/support/process_memory.h>
#include <tests/support/proxy_deployment.h>

#include <gtest/gtest.h>

#include <iostream>

namespace catkinlanding::testing {

namespace {

constexpr std::size_t mebibyte = 1024UL * 1024;
constexpr int memory_megabytes = 64;
constexpr std::size_t memory_limit = memory_megabytes * mebibyte;
constexpr std::size_t callers = 12;
constexpr std::size_t bytes_each = 32 * mebibyte;
/// What the sockets between a caller and a process hold, with the process's own buffers.
constexpr std::size_t max_unread_bytes = 16 * mebibyte;
constexpr std::size_t max_descriptors = 128;
constexpr char const* caller_headers =
    "Authorization: Bearer key-ann\r\nAttempt-Id: a-1\r\nDeadline-Ms: 15000\r\n";

enum class listener : std::uint8_t { callers, calls, readiness, metrics };

struct endless_case {
  listener at = listener::callers;
  std::string kind;
};

std::ostream& operator<<(std::ostream& out, endless_case const& one) {
  constexpr std::array<char const*, 4> names{"callers", "calls", "readiness", "metrics"};
  return out << names.at(static_cast<std::size_t>(one.at)) << "_" << one.kind;
}

class endless_requests_test : public ::testing::TestWithParam<endless_case> {
protected:
  void SetUp() override {
    m_deployment.use_memory(memory_megabytes);
    ASSERT_TRUE(m_deployment.start());
  }

  [[nodiscard]] std::string process_name() const {
    return GetParam().at == listener::calls ? "control" : "entry-1";
  }

  [[nodiscard]] int port() const {
    switch (GetParam().at) {
    case listener::callers:
      return m_deployment.caller_port();
    case listener::calls:
      return m_deployment.call_port();
    case listener::readiness:
      return m_deployment.ready_port();
    case listener::metrics:
      return m_deployment.metrics_port();
    }
    return 0;
  }

  [[nodiscard]] endless_request request() const {
    auto const path =
        GetParam().at == listener::calls ? "/api/Instances.Heartbeat/x" : "/again/answer";
    for (auto const& one : endless_requests(path, caller_headers)) {
      if (one.name == GetParam().kind) {
        return one;
      }
    }
    return {};
  }

  [[nodiscard]] int status_of_ordinary_request() {
    http_request const check{.method = "GET", .path = "/api/readyz", .body = {}, .headers = {}};
    switch (GetParam().at) {
    case listener::callers:
      return m_deployment.send_to_entry("entry-1", {.path = "/again/answer"}).status;
    case listener::calls:
      return m_deployment.announce(m_deployment.endpoint(0)).status;
    case listener::readiness:
    case listener::metrics:
      return exchange(port(), check, m_deployment.ip_of("entry-1")).status;
    }
    return 0;
  }

  proxy_deployment m_deployment;
};

// Guards against a process that buffers a request's framing or header for as long as its caller
// sends, or reads framing without end for few bytes of a body.
TEST_P(endless_requests_test, are_cut_off) {
  auto const name = process_name();
  endless_callers crowd(port(), m_deployment.ip_of(name), callers);
  EXPECT_LT(crowd.send(request(), bytes_each), max_unread_bytes);
  EXPECT_EQ(status_of_ordinary_request(), 200);
  auto const process = m_deployment.process(name).id();
  auto const peak = peak_memory_of(process);
  std::cout << "peak memory: " << peak / mebibyte << " MiB\n";
  EXPECT_GT(peak, 0U);
  EXPECT_LT(peak, memory_limit);
  EXPECT_LT(open_descriptors_of(process), max_descriptors);
}

INSTANTIATE_TEST_SUITE_P(at_callers, endless_requests_test,
                         ::testing::Values(endless_case{listener::callers, "trailers"},
                                           endless_case{listener::callers, "extension"},
                                           endless_case{listener::callers, "chunk_size"},
                                           endless_case{listener::callers, "padded_chunks"},
                                           endless_case{listener::callers, "header_lines"},
                                           endless_case{listener::callers, "header_line"},
                                           endless_case{listener::callers, "target"}));
INSTANTIATE_TEST_SUITE_P(at_calls, endless_requests_test,
                         ::testing::Values(endless_case{listener::calls, "trailers"},
                                           endless_case{listener::calls, "extension"},
                                           endless_case{listener::calls, "padded_chunks"},
                                           endless_case{listener::calls, "header_lines"}));
INSTANTIATE_TEST_SUITE_P(at_readiness, endless_requests_test,
                         ::testing::Values(endless_case{listener::readiness, "trailers"},
                                           endless_case{listener::readiness, "header_line"}));
INSTANTIATE_TEST_SUITE_P(at_metrics, endless_requests_test,
                         ::testing::Values(endless_case{listener::metrics, "chunk_size"},
                                           endless_case{listener::metrics, "header_lines"}));

// Guards against a bound on framing that a caller within the documented limits reaches.
TEST(many_tiny_chunks, of_a_body_of_the_largest_size_are_served) {
  constexpr std::size_t body_bytes = 4 * mebibyte;
  proxy_deployment deployment;
  ASSERT_TRUE(deployment.start());
  raw_connection const caller(deployment.caller_port(), deployment.ip_of("entry-1"));
  std::string bytes = "POST /again/answer HTTP/1.1\r\nHost: api.example\r\n" +
                      std::string(caller_headers) + "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t sent = 0; sent < body_bytes; sent += 2) {
    bytes += "2\r\nxy\r\n";
  }
  ASSERT_TRUE(caller.send(bytes + "0\r\n\r\n"));
  auto const answer = caller.read_until("xy", std::chrono::seconds(60));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer.substr(0, 200);
}

} // namespace

} // namespace catkinlanding::testing
