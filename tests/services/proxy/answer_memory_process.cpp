#include <tests/stand_ins/stalling_endpoint.h>
#include <tests/support/deployment.h>
#include <tests/support/process_memory.h>
#include <tests/support/proxy_deployment.h>
#include <tests/support/raw_connection.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <thread>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;

/// What the smallest deployments give an entry instance.
constexpr std::size_t memory_limit = 160UL * 1024 * 1024;
/// Room for what answers don't cause: requests, documents, messages, the program itself.
constexpr std::size_t max_used_memory = memory_limit / 2;
/// Nearly as many as 4,100 descriptors allow, two for each request.
constexpr int connections = 1900;
constexpr std::size_t endless_bytes = 256UL * 1024;
constexpr std::size_t bytes_above_event_limit = 1200UL * 1024;
constexpr std::size_t bytes_below_header_limit = 30UL * 1024;
constexpr int slots = 4000;

struct endless_case {
  std::string route;
  std::string behaviour;
  std::size_t bytes = endless_bytes;
};

std::ostream& operator<<(std::ostream& out, endless_case const& one) {
  return out << one.behaviour << "_" << one.bytes;
}

class answer_memory : public ::testing::TestWithParam<endless_case> {
protected:
  void SetUp() override {
    ASSERT_TRUE(m_deployment.start());
    for (std::size_t index : {0, 1}) {
      ASSERT_EQ(m_deployment.announce(m_deployment.endpoint(index), "draining").status, 200);
    }
    m_endpoint = std::make_unique<stalling_endpoint>(stalling_endpoint::options{
        .ip = "127.0.0.7", .port = free_port(), .id = "stalling", .bytes = GetParam().bytes});
    m_announcer = std::jthread([this](std::stop_token const& stop) {
      for (int sequence = 1; !stop.stop_requested(); ++sequence) {
        announce(sequence);
        std::this_thread::sleep_for(500ms);
      }
    });
    ASSERT_TRUE(eventually([&] {
      return m_deployment.log("entry-1").find("id=stalling state=ready") != std::string::npos;
    }));
  }

  void announce(int sequence) {
    nlohmann::json const announcement = {{"service", "lookup"}, {"address", m_endpoint->address()},
                                         {"zone", "north"},     {"version", "v1"},
                                         {"slots", slots},      {"state", "ready"},
                                         {"cold_left_ms", 0},   {"seq", sequence}};
    static_cast<void>(m_deployment.call("POST", "/api/Instances.Heartbeat/" + m_endpoint->id(),
                                        announcement.dump()));
  }

  /// Sends a request on a connection of its own, whose answer is not read.
  void begin(int number) {
    auto& caller = m_callers.emplace_back(std::make_unique<raw_connection>(
        m_deployment.caller_port(), m_deployment.ip_of("entry-1")));
    caller->send("GET /" + GetParam().route + "/" + GetParam().behaviour +
                 " HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer key-ann\r\n"
                 "Attempt-Id: a-" +
                 std::to_string(number) + "\r\nDeadline-Ms: 15000\r\n\r\n");
  }

  /// Whether no further byte of the answers was taken for a while.
  [[nodiscard]] bool is_settled() {
    auto const before = m_endpoint->sent_bytes();
    std::this_thread::sleep_for(300ms);
    return m_endpoint->sent_bytes() == before;
  }

  proxy_deployment m_deployment;
  std::unique_ptr<stalling_endpoint> m_endpoint;
  std::vector<std::unique_ptr<raw_connection>> m_callers;
  std::jthread m_announcer;
};

// Guards against an instance that runs out of memory over answers without end, though it bounds
// each of them, and against callers who get no answer meanwhile.
TEST_P(answer_memory, is_bounded_over_all_connections) {
  for (int number = 0; number < connections; ++number) {
    begin(number);
  }
  EXPECT_TRUE(eventually([&] { return m_endpoint->requests() >= connections; }));
  EXPECT_TRUE(eventually([&] { return is_settled(); }));
  for (int number = 0; number < 20; ++number) {
    auto const answer = m_deployment.send_to_entry(
        "entry-1",
        {.path = "/again/answer", .headers = {{"Attempt-Id", "b-" + std::to_string(number)}}});
    EXPECT_EQ(answer.status, 200);
  }
  auto const peak = peak_memory_of(m_deployment.process("entry-1").id());
  RecordProperty("peak_bytes", std::to_string(peak));
  std::cout << "peak memory with " << connections << " answers: " << peak / 1024 / 1024 << " MiB\n";
  EXPECT_GT(peak, 0U);
  EXPECT_LT(peak, max_used_memory);
}

INSTANTIATE_TEST_SUITE_P(
    of_endless_answers, answer_memory,
    ::testing::Values(
        endless_case{"once", "interim"}, endless_case{"once", "header"},
        endless_case{"once", "header", bytes_below_header_limit},
        endless_case{"once", "fields", bytes_below_header_limit}, endless_case{"once", "failure"},
        endless_case{"once", "failure", bytes_below_header_limit},
        endless_case{"once", "failure-header", bytes_below_header_limit},
        endless_case{"once", "chunk"}, endless_case{"once", "chunk", bytes_below_header_limit},
        endless_case{"once", "trailer", bytes_below_header_limit}, endless_case{"once", "body"},
        endless_case{"stream", "event"}, endless_case{"stream", "event", bytes_above_event_limit},
        endless_case{"stream", "events"}));

} // namespace

} // namespace catkinlanding::testing
