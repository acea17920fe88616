#include <tests/support/deployment.h>
#include <tests/support/proxy_deployment.h>
#include <tests/support/raw_connection.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <memory>
#include <random>
#include <thread>
#include <vector>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::uint32_t seed = 59;
constexpr int caller_count = 32;
constexpr std::size_t body_bytes = 4000;
/// Before the port is closed and idle connections with it.
constexpr milliseconds last_beginning{2300};
constexpr milliseconds longest_header{2000};
constexpr milliseconds longest_body{2000};

/// A caller whose request arrives in three parts after the entry was told to stop.
struct late_caller {
  std::string id;
  std::string path;
  std::unique_ptr<raw_connection> connection;
  milliseconds first_byte_at{};
  milliseconds header_at{};
  milliseconds last_byte_at{};
  std::string answer;

  [[nodiscard]] bool is_quick() const { return path == "/once/answer"; }

  void send_and_read(std::chrono::steady_clock::time_point signal_at) {
    auto const header = "POST " + path + " HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: " + id +
                        "\r\nDeadline-Ms: 19000\r\nAuthorization: Bearer key-ann\r\n"
                        "Content-Length: " +
                        std::to_string(body_bytes) + "\r\n\r\n";
    constexpr std::size_t beginning = 10;
    std::this_thread::sleep_until(signal_at + first_byte_at);
    connection->send(header.substr(0, beginning));
    std::this_thread::sleep_until(signal_at + header_at);
    connection->send(header.substr(beginning) + std::string(body_bytes / 2, 'x'));
    std::this_thread::sleep_until(signal_at + last_byte_at);
    connection->send(std::string(body_bytes / 2, 'x'));
    answer = connection->read_until("", 20s);
  }
};

late_caller draw_caller(int number, std::mt19937& random) {
  static std::array const paths{"/resume/slow-stream", "/stream/slow-stream", "/again/hang",
                                "/once/answer"};
  auto const draw = [&](milliseconds longest) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(0, longest.count())(random));
  };
  late_caller made;
  made.id = "late-" + std::to_string(number);
  made.path = paths.at(static_cast<std::size_t>(number) % paths.size());
  made.first_byte_at = draw(last_beginning);
  made.header_at = made.first_byte_at + draw(longest_header);
  made.last_byte_at = made.header_at + draw(longest_body);
  return made;
}

// Guards against requests that are passed on during a planned stop and then cut, as their answers
// outlast the process (LOST): they had arrived whole late in the grace, by slow headers or bodies.
TEST(late_requests, are_served_whole_or_refused_but_not_begun_and_cut) {
  proxy_deployment deployment;
  ASSERT_TRUE(deployment.start());
  std::mt19937 random(seed);
  std::vector<late_caller> callers;
  for (int i = 0; i < caller_count; ++i) {
    auto& caller = callers.emplace_back(draw_caller(i, random));
    caller.connection =
        std::make_unique<raw_connection>(deployment.caller_port(), deployment.ip_of("entry-1"));
    bool const is_kept = caller.is_quick() || random() % 2 == 0;
    if (is_kept) {
      // The same connection has served a request before.
      ASSERT_TRUE(caller.connection->send(
          "POST /once/answer HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: early-" +
          std::to_string(i) + "\r\nAuthorization: Bearer key-ann\r\nContent-Length: 3\r\n\r\nyes"));
      ASSERT_FALSE(caller.connection->read_until("echo yes", 5s).empty());
    }
  }

  auto const signal_at = std::chrono::steady_clock::now();
  deployment.process("entry-1").send_signal(SIGTERM);
  std::vector<std::thread> threads;
  threads.reserve(callers.size());
  for (auto& caller : callers) {
    threads.emplace_back([&caller, signal_at] { caller.send_and_read(signal_at); });
  }
  for (auto& thread : threads) {
    thread.join();
  }

  for (auto const& caller : callers) {
    SCOPED_TRACE(caller.path + " " + caller.id + " whole after " +
                 std::to_string(caller.last_byte_at.count()) + " ms");
    auto const status = caller.answer.substr(0, 12);
    if (caller.is_quick()) {
      EXPECT_EQ(status, "HTTP/1.1 200");
      EXPECT_TRUE(caller.answer.ends_with(std::string(body_bytes, 'x')));
      continue;
    }
    EXPECT_EQ(status, "HTTP/1.1 503");
    EXPECT_NE(caller.answer.find("Retry-After: 0.000\r\n"), std::string::npos);
    EXPECT_NE(caller.answer.find("Connection: close\r\n"), std::string::npos);
    EXPECT_TRUE(deployment.requests_executed_for(caller.id).empty());
  }
}

} // namespace

} // namespace catkinlanding::testing
