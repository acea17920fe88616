#include <services/daemon/scoped_count.h>
#include <services/proxy/clock.h>
#include <services/proxy/entry_server.h>
#include <services/proxy/relay_header.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <spdlog/spdlog.h>

namespace catkinlanding::proxy {

namespace {

namespace asio = boost::asio;
using daemon::awaitable;
using daemon::completion;

constexpr std::chrono::seconds reject_timeout{1};
/// Limits the rate of log lines about rejected requests, for each reason. All are counted.
constexpr std::chrono::seconds reject_line_interval{1};
/// For how long a caller may pause in a refused request, whose rest is discarded.
constexpr std::chrono::seconds discard_pause{3};
/// What is discarded of a request that breaks a rule, so that its caller gets the answer.
constexpr discard_limits rejected_rest{
    .max_pause = reject_timeout, .max_time = reject_timeout, .max_bytes = 1024UL * 1024};

} // namespace

entry_server::entry_server(entry_context& context, asio::ip::tcp::acceptor acceptor,
                           options options)
    : m_context(context), m_acceptor(std::move(acceptor)), m_options(options),
      m_body_memory({.max_bytes = options.max_body_memory, .free_memory_divisor = 1}),
      m_buffer_memory({.max_bytes = options.max_buffer_memory}) {
  daemon::spawn(m_context.io, "entry", accept());
}

bool entry_server::connection::is_empty() const {
  boost::system::error_code error;
  return buffer.storage().size() == 0 && stream.socket().available(error) == 0;
}

std::vector<open_request> entry_server::open_requests() const {
  std::vector<open_request> found;
  for (auto const& connection : m_connections) {
    if (auto request = open_request_of(*connection)) {
      found.push_back(std::move(*request));
    }
  }
  return found;
}

std::optional<open_request> entry_server::open_request_of(connection const& connection) const {
  if (auto const current = connection.current_exchange.lock()) {
    return current->progress();
  }
  if (connection.parser == nullptr) {
    bool const has_begun = connection.is_awaiting_request && !connection.is_empty();
    return has_begun ? std::optional(open_request{}) : std::nullopt;
  }
  open_request made{.header_at = connection.header_at};
  auto const facts = m_context.protocol_adapter.read_request(connection.parser->get().base());
  if (facts) {
    made.id = facts->id;
    made.route = m_context.router.route_name(*facts);
    made.caller_deadline = connection.header_at + m_context.router.time_of(facts->caller_timeout);
  }
  return made;
}

void entry_server::stop_accepting() {
  // Callers whose connections the kernel has accepted already are served, as closing would reset
  // them.
  boost::system::error_code error;
  m_acceptor.non_blocking(true, error);
  while (!error) {
    daemon::tcp_socket socket(m_context.io);
    m_acceptor.accept(socket, error);
    if (!error) {
      start(std::move(socket));
    }
  }
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
}

void entry_server::close_idle() {
  for (auto const& connection : m_connections) {
    if (connection->is_awaiting_request && connection->is_empty()) {
      connection->stream.cancel();
    }
  }
}

void entry_server::refuse_half_read() {
  for (auto const& connection : m_connections) {
    bool const is_half_read = connection->parser != nullptr ||
                              (connection->is_awaiting_request && !connection->is_empty());
    if (is_half_read && now() > latest_arrival(*connection)) {
      connection->is_refused = true;
      connection->stream.cancel();
    }
  }
}

base::monotonic_time entry_server::latest_arrival(connection const& connection) const {
  request_facts facts;
  if (connection.parser != nullptr) {
    auto read = m_context.protocol_adapter.read_request(connection.parser->get().base());
    facts = read ? std::move(*read) : request_facts{};
    facts.waited = now() - connection.header_at;
  }
  return m_context.router.latest_begin(facts, now());
}

awaitable<void> entry_server::accept() {
  while (m_acceptor.is_open()) {
    auto [error, socket] = co_await m_acceptor.async_accept(m_context.io, completion);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      spdlog::warn("entry accept_failed error={}", error.message());
      co_await daemon::pause_accepting(m_context.io);
      continue;
    }
    start(std::move(socket));
  }
}

void entry_server::start(daemon::tcp_socket socket) {
  if (m_connections.size() >= m_options.max_connections && !m_waiting.close_longest()) {
    spdlog::warn("entry connection_refused connections={}", m_connections.size());
    return;
  }
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  auto accepted = std::make_shared<connection>(std::move(socket), m_buffer_memory);
  m_connections.insert(accepted);
  daemon::spawn(m_context.io, "entry", serve(std::move(accepted)));
}

awaitable<void> entry_server::serve(std::shared_ptr<connection> connection) {
  try {
    co_await serve_requests(*connection);
  } catch (std::exception const& exception) {
    spdlog::error("entry connection_failed error=\"{}\"", exception.what());
  }
  m_connections.erase(connection);
  boost::system::error_code ignored;
  connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  connection->stream.close();
}

awaitable<void> entry_server::serve_requests(connection& connection) {
  bool is_open = true;
  while (is_open) {
    base::memory_share body_memory(m_body_memory);
    auto request = co_await read_request(connection, body_memory);
    if (!request) {
      break;
    }
    daemon::scoped_count const active(m_active_exchanges);
    auto const current_exchange =
        std::make_shared<exchange>(m_context, connection.stream, std::move(*request));
    connection.current_exchange = current_exchange;
    is_open = co_await current_exchange->run();
  }
}

awaitable<std::optional<incoming_request>>
entry_server::read_request(connection& connection, base::memory_share& body_memory) {
  auto const& limits = m_context.router.limits();
  daemon::waiting_connections::entry const waiting(m_waiting, connection.stream);
  request_parser parser;
  parser.body_limit(limits.max_body_bytes);
  connection.stream.expires_after(limits.idle_timeout);
  connection.is_awaiting_request = true;
  auto const error = co_await daemon::read_header(connection.stream, connection.buffer, parser,
                                                  limits.max_header_bytes);
  connection.is_awaiting_request = false;
  if (error == http::error::header_limit) {
    co_await reject(connection, http::status::request_header_fields_too_large, "header_too_large");
    co_return std::nullopt;
  }
  if (error == http::error::body_limit) {
    co_await reject(connection, http::status::payload_too_large, "body_too_large");
    co_return std::nullopt;
  }
  if (error == boost::system::errc::not_enough_memory) {
    co_await reject(connection, http::status::service_unavailable, "headers_exceed_memory");
    co_return std::nullopt;
  }
  bool const is_malformed = error && error.category() == http::make_error_code({}).category() &&
                            error != http::error::end_of_stream &&
                            error != http::error::partial_message;
  if (is_malformed) {
    co_await reject(connection, http::status::bad_request, "malformed");
  }
  if (error == asio::error::operation_aborted && connection.is_refused) {
    co_await refuse_unread(connection);
  }
  if (error) {
    co_return std::nullopt;
  }
  if (!has_unambiguous_framing(parser)) {
    co_await reject(connection, http::status::bad_request, "ambiguous_length");
    co_return std::nullopt;
  }
  if (!reserve_body(parser, body_memory)) {
    co_await reject(connection, http::status::service_unavailable, "bodies_exceed_memory");
    co_return std::nullopt;
  }
  auto const arrived_at = now();
  connection.parser = &parser;
  connection.header_at = arrived_at;
  if (!parser.is_done() && arrived_at > latest_arrival(connection)) {
    co_await refuse_unread(connection);
    co_return std::nullopt;
  }
  auto const timeout = m_context.protocol_adapter.read_timeout(parser.get().base());
  connection.stream.expires_after(m_context.router.time_of(timeout.value_or(std::nullopt)));
  if (parser.get()[http::field::expect] == "100-continue") {
    constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(connection.stream, asio::buffer(continue_response), completion);
  }
  bool const is_whole = co_await read_body(connection, parser, body_memory);
  connection.parser = nullptr;
  if (!is_whole) {
    co_return std::nullopt;
  }
  connection.stream.expires_never();
  co_return incoming_request{
      .message = parser.release(), .arrived_at = arrived_at, .last_byte_at = now()};
}

awaitable<bool> entry_server::read_body(connection& connection, request_parser& parser,
                                        base::memory_share& body_memory) {
  auto const failure =
      co_await proxy::read_body(connection.stream, connection.buffer, parser, body_memory);
  if (failure == request_body_failure::connection_lost && connection.is_refused) {
    co_await refuse_unread(connection);
  } else if (failure == request_body_failure::too_large) {
    co_await reject(connection, http::status::payload_too_large, "body_too_large");
  } else if (failure == request_body_failure::no_memory) {
    co_await reject(connection, http::status::service_unavailable, "bodies_exceed_memory");
  } else if (failure == request_body_failure::framing_too_large) {
    co_await reject(connection, http::status::request_header_fields_too_large, "framing_too_large");
  }
  co_return !failure;
}

awaitable<void> entry_server::refuse_unread(connection& connection) {
  auto const described = open_request_of(connection).value_or(open_request{});
  bool const is_relayed =
      connection.parser != nullptr && has_relay_header(connection.parser->get().base());
  connection.parser = nullptr;
  auto const refusal = m_context.router.refuse_unread();
  spdlog::info("entry refused request={} reason={} route={}",
               described.id.is_empty() ? "-" : described.id.value, name_of(refusal.kind),
               described.route);
  m_context.metrics.observe_request({}, described.route, request_end::refused,
                                    name_of(refusal.kind),
                                    now() - described.header_at.value_or(now()));
  auto answer = m_context.protocol_adapter.write_refusal(refusal);
  if (is_relayed) {
    add_stopping_header(answer.base());
  }
  auto const bytes = serialize_response(answer.base(), answer.body(), false);
  connection.stream.expires_after(reject_timeout);
  co_await asio::async_write(connection.stream, asio::buffer(bytes), completion);
  auto const& limits = m_context.router.limits();
  discard_limits const rest{.max_pause = discard_pause,
                            .max_time = limits.idle_timeout,
                            .max_bytes = daemon::max_bytes_on_wire(limits.max_body_bytes)};
  co_await discard_rest(connection.stream, connection.buffer, rest);
}

awaitable<void> entry_server::reject(connection& connection, http::status status,
                                     char const* reason) {
  auto& next_line = m_next_lines[reason];
  if (now() >= next_line) {
    next_line = now() + reject_line_interval;
    spdlog::warn("entry refused request=- reason={} status={}", reason, static_cast<int>(status));
  }
  connection.stream.expires_after(reject_timeout);
  http_response const answer(status, 11);
  m_context.metrics.observe_request({}, {}, request_end::refused, reason, {});
  auto const bytes = serialize_response(answer.base(), {}, false);
  co_await asio::async_write(connection.stream, asio::buffer(bytes), completion);
  co_await discard_rest(connection.stream, connection.buffer, rejected_rest);
}

} // namespace catkinlanding::proxy
