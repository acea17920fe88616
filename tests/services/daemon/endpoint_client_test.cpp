#include <services/daemon/endpoint_client.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <variant>

namespace catkinlanding::daemon {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::string_view stream_head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view last_token =
    R"(data: {"choices": [], "usage": {"prompt_tokens": 2, "completion_tokens": 7}})"
    "\n\n";

std::string chunk(std::string_view text) {
  std::ostringstream size;
  size << std::hex << text.size();
  return size.str() + "\r\n" + std::string(text) + "\r\n";
}

/// A request for a stream to an endpoint that sends these bytes, and then closes its connection or
/// does nothing more.
class endpoint_streams : public testing::Test {
protected:
  void run(std::string bytes, bool closes) {
    m_bytes = std::move(bytes);
    m_acceptor.async_accept(m_connection, [this, closes](boost::system::error_code) {
      asio::async_read_until(m_connection, m_request, "\r\n\r\n", [this, closes](auto...) {
        asio::write(m_connection, asio::buffer(m_bytes));
        if (closes) {
          m_connection.close();
        }
      });
    });
    endpoint_client client(m_context, {}, [this](requests::event const& event) { take(event); });
    client.start({.attempt = 1,
                  .address = {.ip = "127.0.0.1", .port = m_acceptor.local_endpoint().port()},
                  .method = "POST",
                  .path = "/v1/chat/completions",
                  .body = std::make_shared<std::string const>("{}"),
                  .is_stream = true});
    m_context.run_for(patience);
  }

  void take(requests::event const& event) {
    if (auto const* finished = std::get_if<requests::attempt_finished>(&event)) {
      m_finished = *finished;
      m_context.stop();
    }
    if (auto const* failed = std::get_if<requests::attempt_failed>(&event)) {
      m_failed = *failed;
      m_context.stop();
    }
  }

  static constexpr std::chrono::seconds patience{5};
  asio::io_context m_context;
  tcp::acceptor m_acceptor{m_context, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
  tcp::socket m_connection{m_context};
  asio::streambuf m_request;
  std::string m_bytes;
  std::optional<requests::attempt_finished> m_finished;
  std::optional<requests::attempt_failed> m_failed;
};

// Guards against a whole answer that is cut because the endpoint ended its connection before the
// last chunk.
TEST_F(endpoint_streams, are_whole_when_the_connection_ends_after_the_end_marker) {
  run(std::string(stream_head) + chunk(last_token) + chunk("data: [DONE]\n\n"), /*closes=*/true);
  EXPECT_FALSE(m_failed.has_value());
  ASSERT_TRUE(m_finished.has_value());
  EXPECT_EQ(m_finished->usage.completion_tokens, 7U);
}

// Guards against a whole answer that is held back until its caller's deadline, and is cut then,
// because the endpoint did not end its connection.
TEST_F(endpoint_streams, are_whole_when_nothing_comes_after_the_end_marker) {
  run(std::string(stream_head) + chunk(last_token) + chunk("data: [DONE]\n\n"), /*closes=*/false);
  ASSERT_TRUE(m_finished.has_value());
  EXPECT_EQ(m_finished->usage.completion_tokens, 7U);
}

// Guards against a broken answer that is taken for a whole one because its text has the end marker
// in it.
TEST_F(endpoint_streams, are_broken_when_the_connection_ends_after_a_text_with_the_end_marker) {
  run(std::string(stream_head) + chunk("data: {\"text\": \"\\ndata: [DONE]"),
      /*closes=*/true);
  EXPECT_FALSE(m_finished.has_value());
  EXPECT_TRUE(m_failed.has_value());
}

} // namespace

} // namespace catkinlanding::daemon
