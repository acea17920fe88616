#include <tests/support/deployment.h>
#include <tests/support/process_memory.h>
#include <tests/support/proxy_deployment.h>
#include <tests/support/raw_connection.h>

#include <gtest/gtest.h>

#include <memory>

namespace catkinlanding::testing {

namespace {

/// What the smallest deployments give an entry instance.
constexpr std::size_t memory_limit = 160UL * 1024 * 1024;
constexpr std::size_t max_used_memory = memory_limit / 2;
constexpr std::size_t block_bytes = 64UL * 1024;
constexpr int connections = 200;
/// The largest body that the document of the deployment allows.
constexpr std::size_t max_body_bytes = 4UL * 1024 * 1024;

class request_memory : public ::testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(m_deployment.start()); }

  /// Sends a beginning on many connections, and on each as many blocks after it as are taken.
  void send_on_all(int port, std::string const& ip, std::string const& beginning,
                   std::string const& block, std::size_t blocks) {
    for (int number = 0; number < connections; ++number) {
      auto& sender = m_senders.emplace_back(std::make_unique<raw_connection>(port, ip));
      bool is_open = sender->send(beginning);
      for (std::size_t i = 0; i < blocks && is_open; ++i) {
        is_open = sender->send(block);
      }
    }
  }

  void expect_bounded(std::string const& name) {
    auto const peak = peak_memory_of(m_deployment.process(name).id());
    std::cout << "peak memory of " << name << ": " << peak / 1024 / 1024 << " MiB\n";
    EXPECT_GT(peak, 0U);
    EXPECT_LT(peak, max_used_memory);
  }

  void expect_served() {
    auto const answer = m_deployment.send_to_entry("entry-1", {.path = "/again/answer"});
    EXPECT_EQ(answer.status, 200);
  }

  proxy_deployment m_deployment;
  std::vector<std::unique_ptr<raw_connection>> m_senders;
};

// Guards against an instance that runs out of memory over bodies that are being read, and against
// callers of small requests that are turned away beside them.
TEST_F(request_memory, is_bounded_for_callers_with_large_bodies) {
  send_on_all(
      m_deployment.caller_port(), m_deployment.ip_of("entry-1"),
      "POST /again/answer HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer key-ann\r\n"
      "Attempt-Id: a-1\r\nDeadline-Ms: 15000\r\nContent-Length: " +
          std::to_string(max_body_bytes) + "\r\n\r\n",
      std::string(block_bytes, 'x'), max_body_bytes / block_bytes - 1);
  expect_served();
  expect_bounded("entry-1");
  auto const refused = m_senders.back()->read_until("\r\n", std::chrono::seconds(5));
  EXPECT_TRUE(refused.empty() || refused.starts_with("HTTP/1.1 503")) << refused;
}

TEST_F(request_memory, is_bounded_for_callers_with_endless_chunks) {
  std::string const chunk = "10000\r\n" + std::string(block_bytes, 'x') + "\r\n";
  send_on_all(
      m_deployment.caller_port(), m_deployment.ip_of("entry-1"),
      "POST /again/answer HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer key-ann\r\n"
      "Attempt-Id: a-1\r\nDeadline-Ms: 15000\r\nTransfer-Encoding: chunked\r\n\r\n",
      chunk, max_body_bytes / block_bytes - 1);
  expect_served();
  expect_bounded("entry-1");
}

// Guards against the same over calls of endpoints and operators; others are answered meanwhile.
TEST_F(request_memory, is_bounded_for_calls_with_large_bodies) {
  constexpr std::size_t max_call_bytes = 8UL * 1024 * 1024;
  send_on_all(m_deployment.call_port(), proxy_deployment::control_ip,
              "POST /api/Config.Put HTTP/1.1\r\nHost: control\r\nContent-Length: " +
                  std::to_string(max_call_bytes) + "\r\n\r\n",
              std::string(block_bytes, 'x'), max_call_bytes / block_bytes - 1);
  EXPECT_EQ(m_deployment.announce(m_deployment.endpoint(0)).status, 200);
  expect_bounded("control");
}

// Guards against the same over messages of faulty instances.
TEST_F(request_memory, is_bounded_for_messages_between_instances) {
  constexpr std::size_t frame_bytes = 60UL * 1024 * 1024;
  constexpr std::size_t sent_bytes = 8UL * 1024 * 1024;
  std::string length(4, '\0');
  length[3] = static_cast<char>(frame_bytes >> 24U);
  length[2] = static_cast<char>(frame_bytes >> 16U);
  send_on_all(m_deployment.peer_port(), m_deployment.ip_of("entry-1"), length,
              std::string(block_bytes, 'x'), sent_bytes / block_bytes);
  expect_served();
  expect_bounded("entry-1");
}

} // namespace

} // namespace catkinlanding::testing
