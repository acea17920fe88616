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
      m_handler(std::move(handle_request)),
      m_body_memory({.max_bytes = options.max_body_memory, .free_memory_divisor = 1}) {
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
  while (co_await serve_request(*stream, buffer)) {
  }
  boost::system::error_code ignored;
  stream->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

awaitable<bool> http_server::serve_request(daemon::tcp_stream& stream,
                                           boost::beast::flat_buffer& buffer) {
  request_parser parser;
  parser.header_limit(m_options.max_header_bytes);
  parser.body_limit(m_options.max_body_bytes);
  stream.expires_after(m_options.idle_timeout);
  auto const [error, size] = co_await http::async_read_header(stream, buffer, parser, completion);
  if (error) {
    co_return false;
  }
  base::memory_share memory(m_body_memory);
  auto failure = std::optional(request_body_failure::no_memory);
  if (reserve_body(parser, memory)) {
    failure = co_await read_body(stream, buffer, parser, memory);
  }
  if (failure == request_body_failure::no_memory) {
    spdlog::warn("calls refused reason=bodies_exceed_memory used={}", m_body_memory.used_bytes());
    co_return co_await write(stream, http_response(http::status::service_unavailable, 11), false);
  }
  if (failure) {
    co_return false;
  }
  auto request = parser.release();
  bool const keep_alive = request.keep_alive();
  auto const answer = co_await m_handler(std::move(request));
  co_return co_await write(stream, answer, keep_alive);
}

awaitable<bool> http_server::write(daemon::tcp_stream& stream, http_response const& answer,
                                   bool keep_alive) {
  auto const bytes = serialize_response(answer.base(), answer.body(), keep_alive);
  auto const [error, written] = co_await asio::async_write(stream, asio::buffer(bytes), completion);
  co_return keep_alive && !error;
}

} // namespace catkinlanding::proxy
