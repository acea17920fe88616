#include <services/daemon/connections/accept_loop.h>
#include <services/daemon/scoped_count.h>
#include <services/proxy/http_server.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <spdlog/spdlog.h>

#include <array>

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
      m_open(std::make_shared<daemon::connections::open_connections>(
          context,
          daemon::connections::open_connections::options{
              .server = "calls",
              .request_bytes = options.bounds.request_bytes,
              .answer_bytes = options.bounds.answer_bytes})),
      m_turns(context) {
  daemon::spawn(m_context, "calls",
                daemon::connections::accept_all(
                    m_context, m_acceptor, "calls",
                    [this](daemon::tcp_socket socket) { start(std::move(socket)); }));
}

void http_server::stop_accepting() {
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
}

void http_server::start(daemon::tcp_socket socket) {
  if (m_connections >= m_options.bounds.max_connections && !m_open->close_one()) {
    note_refused();
    return;
  }
  boost::system::error_code ignored;
  socket.non_blocking(true, ignored);
  daemon::spawn(m_context, "calls", serve(std::make_shared<connection>(std::move(socket), m_open)));
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
    spdlog::warn("calls refused reason={} used={} total={}", reason, m_open->request_bytes(),
                 m_rejected);
  }
}

awaitable<void> http_server::serve(std::shared_ptr<connection> connection) {
  daemon::scoped_count const active(m_connections);
  while (co_await serve_request(*connection)) {
    connection->entry.release_body();
    connection->entry.begin(resources::connection_phase::resting);
    if (connection->buffer.storage().size() > 0) {
      co_await m_turns.wait();
    }
    if (connection->entry.closing()) {
      break;
    }
  }
  boost::system::error_code ignored;
  connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

awaitable<bool> http_server::serve_request(connection& connection) {
  auto request = co_await read_request(connection);
  if (!request) {
    auto const status = request.error();
    if (status) {
      served_answer refusal{.message = http_response(*status, 11), .shared_body = {}};
      co_await write(connection, std::move(refusal), false);
      co_await discard_rest(connection.stream, connection.buffer, rejected_rest);
    }
    co_return false;
  }
  connection.entry.serve();
  bool const keep_alive = request->keep_alive();
  auto answer = co_await m_handler(std::move(*request));
  connection.entry.release_body();
  co_return co_await write(connection, std::move(answer), keep_alive);
}

awaitable<tl::expected<http_request, std::optional<http::status>>>
http_server::read_request(connection& connection) {
  auto& stream = connection.stream;
  request_parser parser;
  parser.body_limit(m_options.max_body_bytes);
  auto const error = co_await daemon::read_header(stream, connection.buffer, parser,
                                                  {.max_bytes = m_options.max_header_bytes,
                                                   .idle_timeout = m_options.idle_timeout,
                                                   .timeout = m_options.read_timeout});
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
  if (!error) {
    stream.expires_after(m_options.read_timeout);
    failure = co_await proxy::read_body(stream, connection.buffer, parser);
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
  co_return daemon::take_request(parser);
}

awaitable<bool> http_server::write(connection& connection, served_answer answer, bool keep_alive) {
  auto& message = answer.message;
  if (!connection.entry.try_hold_answer(message.body().size())) {
    note_rejected("answers_exceed_memory");
    message.result(http::status::service_unavailable);
    std::string().swap(message.body());
  }
  std::string_view const body = answer.shared_body ? *answer.shared_body : message.body();
  auto const header = serialize_response_header(message.base(), body.size(), keep_alive);
  std::array<asio::const_buffer, 2> const buffers{asio::buffer(header), asio::buffer(body)};
  connection.stream.expires_after(m_options.write_timeout);
  daemon::connections::open_connections::writing_scope const writing(connection.entry);
  auto const [error, written] = co_await asio::async_write(connection.stream, buffers, completion);
  connection.entry.release_answer();
  co_return keep_alive && !error && !connection.entry.closing();
}

} // namespace catkinlanding::proxy
