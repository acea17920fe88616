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
    request();
  }

  /// The endpoint pauses before it sends the rest, and the client takes less for silence.
  void run_with_pause(std::string bytes, std::string rest) {
    m_bytes = std::move(bytes);
    m_rest = std::move(rest);
    m_acceptor.async_accept(m_connection, [this](boost::system::error_code) {
      asio::async_read_until(m_connection, m_request, "\r\n\r\n", [this](auto...) {
        asio::write(m_connection, asio::buffer(m_bytes));
        m_pause.expires_after(3 * silence_timeout);
        m_pause.async_wait([this](boost::system::error_code) {
          boost::system::error_code ignored;
          asio::write(m_connection, asio::buffer(m_rest), ignored);
        });
      });
    });
    request();
  }

  void request() {
    endpoint_client client(m_context, {.silence_timeout = silence_timeout},
                           [this](requests::event const& event) { take(event); });
    client.start({.attempt = 1,
                  .address = {.ip = "127.0.0.1", .port = m_acceptor.local_endpoint().port()},
                  .method = "POST",
                  .path = "/v1/chat/completions",
                  .body = std::make_shared<std::string const>("{}"),
                  .is_stream = m_is_stream});
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
  static constexpr std::chrono::milliseconds silence_timeout{200};
  bool m_is_stream = true;
  asio::io_context m_context;
  tcp::acceptor m_acceptor{m_context, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
  tcp::socket m_connection{m_context};
  asio::streambuf m_request;
  std::string m_bytes;
  std::string m_rest;
  asio::steady_timer m_pause{m_context};
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

// Guards against a stream that is cut with time left for a pause of its endpoint, which was at
// work. Nobody else can go on with it.
TEST_F(endpoint_streams, are_whole_after_a_pause_beyond_the_silence_timeout) {
  run_with_pause(std::string(stream_head) + chunk("data: {\"choices\": []}\n\n"),
                 chunk(last_token) + chunk("data: [DONE]\n\n") + "0\r\n\r\n");
  EXPECT_FALSE(m_failed.has_value());
  ASSERT_TRUE(m_finished.has_value());
  EXPECT_EQ(m_finished->usage.completion_tokens, 7U);
}

// Another endpoint can be asked for an answer of which the caller has nothing yet.
TEST_F(endpoint_streams, are_the_only_answers_that_may_pause_so_long) {
  m_is_stream = false;
  run_with_pause("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{}", "{}");
  EXPECT_FALSE(m_finished.has_value());
  EXPECT_TRUE(m_failed.has_value());
}

} // namespace

} // namespace catkinlanding::daemon
