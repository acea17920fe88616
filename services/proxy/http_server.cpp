#include <services/daemon/scoped_count.h>
#include <services/proxy/http_server.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <spdlog/spdlog.h>

namespace catkinlanding::proxy {

namespace asio = boost::asio;
using daemon::awaitable;
using daemon::completion;

namespace {

/// Limits the rate of warnings while there are too many connections.
constexpr std::chrono::seconds warning_interval{1};

} // namespace

http_server::http_server(asio::io_context& context, asio::ip::tcp::acceptor acceptor,
                         options options, handler handle_request)
    : m_context(context), m_acceptor(std::move(acceptor)), m_options(options),
      m_handler(std::move(handle_request)) {
  daemon::spawn(m_context, "calls", accept());
}

void http_server::stop_accepting() {
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
}

awaitable<void> http_server::accept() {
  while (m_acceptor.is_open()) {
    auto [error, socket] = co_await m_acceptor.async_accept(m_context, completion);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      spdlog::warn("calls accept_failed error={}", error.message());
      co_await daemon::pause_accepting(m_context);
    } else if (m_connections < m_options.max_connections) {
      daemon::spawn(m_context, "calls",
                    serve(std::make_shared<daemon::tcp_stream>(std::move(socket))));
    } else {
      note_refused();
    }
  }
}

void http_server::note_refused() {
  ++m_refused;
  auto const time = std::chrono::steady_clock::now();
  if (time >= m_next_warning) {
    m_next_warning = time + warning_interval;
    spdlog::warn("calls connection_refused connections={} refused={}", m_connections, m_refused);
  }
}

awaitable<void> http_server::serve(std::shared_ptr<daemon::tcp_stream> stream) {
  daemon::scoped_count const active(m_connections);
  boost::beast::flat_buffer buffer;
  bool is_open = true;
  while (is_open) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(m_options.max_header_bytes);
    parser.body_limit(m_options.max_body_bytes);
    stream->expires_after(m_options.idle_timeout);
    auto const [error, size] = co_await http::async_read(*stream, buffer, parser, completion);
    if (error) {
      break;
    }
    auto request = parser.release();
    is_open = request.keep_alive();
    auto const answer = co_await m_handler(std::move(request));
    auto const bytes = serialize_response(answer.base(), answer.body(), is_open);
    auto const [failed, written] =
        co_await asio::async_write(*stream, asio::buffer(bytes), completion);
    is_open = is_open && !failed;
  }
  boost::system::error_code ignored;
  stream->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

} // namespace catkinlanding::proxy
