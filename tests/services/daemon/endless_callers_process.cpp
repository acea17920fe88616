#include <tests/support/deployment.h>
#include <tests/support/endless_requests.h>
#include <tests/support/process_memory.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <iostream>

namespace catkinlanding::testing {

namespace {

constexpr std::size_t mebibyte = 1024UL * 1024;
constexpr std::size_t max_used_memory = 64 * mebibyte;
constexpr std::size_t callers = 12;
constexpr std::size_t bytes_each = 32 * mebibyte;
/// What the sockets between a caller and a process hold, with the process's own buffers.
constexpr std::size_t max_unread_bytes = 16 * mebibyte;
constexpr std::size_t max_descriptors = 128;

struct endless_case {
  bool is_operator = false;
  std::string kind;
};

std::ostream& operator<<(std::ostream& out, endless_case const& one) {
  return out << (one.is_operator ? "operators_" : "callers_") << one.kind;
}

class endless_callers_test : public ::testing::TestWithParam<endless_case> {
protected:
  void SetUp() override {
    m_deployment.start_all_instances();
    m_deployment.found();
  }

  deployment m_deployment{{{.id = "a1", .zone = "a", .is_control = true}}};
};

// Guards against an instance that buffers a request's framing or header for as long as its caller
// sends, or reads framing without end for few bytes of a body.
TEST_P(endless_callers_test, are_cut_off) {
  bool const is_operator = GetParam().is_operator;
  auto const port = is_operator ? m_deployment.operator_port("a1") : m_deployment.caller_port("a1");
  endless_callers crowd(port, "127.0.0.1", callers);
  for (auto const& request : endless_requests(is_operator ? "/command" : "/services/orders/1")) {
    if (request.name == GetParam().kind) {
      EXPECT_LT(crowd.send(request, bytes_each), max_unread_bytes);
    }
  }
  http_request const check{.method = "GET", .path = "/metrics", .body = {}, .headers = {}};
  EXPECT_EQ(exchange(m_deployment.caller_port("a1"), check).status, 200);
  EXPECT_FALSE(m_deployment.status("a1").empty());
  auto const process = m_deployment.instance("a1").id();
  auto const peak = peak_memory_of(process);
  std::cout << "peak memory: " << peak / mebibyte << " MiB\n";
  EXPECT_GT(peak, 0U);
  EXPECT_LT(peak, max_used_memory);
  EXPECT_LT(open_descriptors_of(process), max_descriptors);
}

INSTANTIATE_TEST_SUITE_P(
    of_all_kinds, endless_callers_test,
    ::testing::Values(endless_case{false, "trailers"}, endless_case{false, "extension"},
                      endless_case{false, "chunk_size"}, endless_case{false, "padded_chunks"},
                      endless_case{false, "header_lines"}, endless_case{false, "target"},
                      endless_case{true, "trailers"}, endless_case{true, "padded_chunks"},
                      endless_case{true, "header_line"}));

class ambiguous_lengths : public ::testing::TestWithParam<std::string> {};

// Guards against bytes of one request's body that are taken for another request.
TEST_P(ambiguous_lengths, hide_no_other_request) {
  deployment deployment({{.id = "a1", .zone = "a", .is_control = true}});
  deployment.start_all_instances();
  deployment.found();
  raw_connection const caller(deployment.caller_port("a1"));
  caller.send("POST /endpoints/announce HTTP/1.1\r\nHost: x\r\n" + GetParam() +
              "\r\n0\r\n\r\nGET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
  auto const reply = caller.read_until("", std::chrono::seconds(2));
  auto const first = reply.find("HTTP/1.1 ");
  EXPECT_TRUE(first == std::string::npos || reply.find("HTTP/1.1 ", first + 1) == std::string::npos)
      << reply;
}

INSTANTIATE_TEST_SUITE_P(
    of_all_kinds, ambiguous_lengths,
    ::testing::Values("Content-Length: 5\r\nContent-Length: 40\r\n",
                      "Content-Length: 5\r\nContent-Length: 5\r\n", "Content-Length: 5, 5\r\n",
                      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                      "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                      "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, identity\r\n",
                      "X-A: 1\nContent-Length: 5\n", "Content-Length : 5\r\n"));

} // namespace

} // namespace catkinlanding::testing
