#include <services/daemon/scoped_count.h>
#include <services/proxy/http_server.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <spdlog/spdlog.h>

namespace catkinlanding::proxy {

namespace asio = boost::asio;
using daemon::awaitable;
using daemon::completion;

namespace {

/// Limits the rate of warnings while there are too many connections.
constexpr std::chrono::seconds warning_interval{1};
/// What is discarded of a refused request, so that its caller gets the answer.
constexpr discard_limits rejected_rest{.max_pause = std::chrono::seconds(1),
                                       .max_time = std::chrono::seconds(1),
                                       .max_bytes = 1024UL * 1024};

} // namespace

http_server::http_server(asio::io_context& context, asio::ip::tcp::acceptor acceptor,
                         options options, handler handle_request)
    : m_context(context), m_acceptor(std::move(acceptor)), m_options(options),
      m_handler(std::move(handle_request)),
      m_body_memory({.max_bytes = options.max_body_memory, .free_memory_divisor = 1}),
      m_buffer_memory({.max_bytes = options.max_buffer_memory}) {
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
    } else if (m_connections < m_options.max_connections || m_waiting.close_longest()) {
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

void http_server::note_rejected(char const* reason) {
  ++m_rejected;
  auto const time = std::chrono::steady_clock::now();
  if (time >= m_next_warning) {
    m_next_warning = time + warning_interval;
    spdlog::warn("calls refused reason={} used={} total={}", reason, m_body_memory.used_bytes(),
                 m_rejected);
  }
}

awaitable<void> http_server::serve(std::shared_ptr<daemon::tcp_stream> stream) {
  daemon::scoped_count const active(m_connections);
  daemon::request_buffer buffer(m_buffer_memory);
  while (co_await serve_request(*stream, buffer)) {
  }
  boost::system::error_code ignored;
  stream->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

awaitable<bool> http_server::serve_request(daemon::tcp_stream& stream,
                                           daemon::request_buffer& buffer) {
  base::memory_share memory(m_body_memory);
  auto request = co_await read_request(stream, buffer, memory);
  if (!request) {
    auto const status = request.error();
    if (status) {
      co_await write(stream, http_response(*status, 11), false);
      co_await discard_rest(stream, buffer, rejected_rest);
    }
    co_return false;
  }
  bool const keep_alive = request->keep_alive();
  auto const answer = co_await m_handler(std::move(*request));
  co_return co_await write(stream, answer, keep_alive);
}

awaitable<tl::expected<http_request, std::optional<http::status>>>
http_server::read_request(daemon::tcp_stream& stream, daemon::request_buffer& buffer,
                          base::memory_share& memory) {
  daemon::waiting_connections::entry const waiting(m_waiting, stream);
  request_parser parser;
  parser.body_limit(m_options.max_body_bytes);
  stream.expires_after(m_options.idle_timeout);
  auto const error =
      co_await daemon::read_header(stream, buffer, parser, m_options.max_header_bytes);
  if (error && error != boost::system::errc::not_enough_memory) {
    co_return tl::unexpected(error == http::error::header_limit
                                 ? std::optional(http::status::request_header_fields_too_large)
                                 : std::nullopt);
  }
  auto failure = std::optional(request_body_failure::no_memory);
  if (!error && !has_unambiguous_framing(parser)) {
    note_rejected("ambiguous_length");
    co_return tl::unexpected(std::optional(http::status::bad_request));
  }
  if (!error && reserve_body(parser, memory)) {
    failure = co_await proxy::read_body(stream, buffer, parser, memory);
  }
  if (failure == request_body_failure::no_memory) {
    note_rejected("requests_exceed_memory");
    co_return tl::unexpected(std::optional(http::status::service_unavailable));
  }
  if (failure == request_body_failure::framing_too_large) {
    note_rejected("framing_too_large");
    co_return tl::unexpected(std::optional(http::status::request_header_fields_too_large));
  }
  if (failure) {
    co_return tl::unexpected(std::optional<http::status>());
  }
  co_return parser.release();
}

awaitable<bool> http_server::write(daemon::tcp_stream& stream, http_response const& answer,
                                   bool keep_alive) {
  auto const bytes = serialize_response(answer.base(), answer.body(), keep_alive);
  auto const [error, written] = co_await asio::async_write(stream, asio::buffer(bytes), completion);
  co_return keep_alive && !error;
}

} // namespace catkinlanding::proxy
