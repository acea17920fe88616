#include <services/daemon/connections/accept_loop.h>
#include <services/daemon/scoped_count.h>
#include <services/proxy/clock.h>
#include <services/proxy/entry_server.h>
#include <services/proxy/relay_header.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <spdlog/spdlog.h>

#include <limits>

namespace catkinlanding::proxy {

namespace {

namespace asio = boost::asio;
using daemon::awaitable;
using daemon::completion;
using resources::connection_phase;

constexpr std::chrono::seconds reject_timeout{1};
/// Limits the rate of log lines about rejected requests, for each reason. All are counted.
constexpr std::chrono::seconds reject_line_interval{1};
/// For how long a caller may pause in a refused request, whose rest is discarded.
constexpr std::chrono::seconds discard_pause{3};
/// What is discarded of a request that breaks a rule, so that its caller gets the answer.
constexpr discard_limits rejected_rest{
    .max_pause = reject_timeout, .max_time = reject_timeout, .max_bytes = 1024UL * 1024};

/// What is discarded of a request that is refused by its header: enough for an ordinary one.
constexpr discard_limits refused_rest{.max_pause = std::chrono::milliseconds(200),
                                      .max_time = std::chrono::milliseconds(300),
                                      .max_bytes = 128UL * 1024};

} // namespace

entry_server::entry_server(entry_context& context, asio::ip::tcp::acceptor acceptor,
                           options options)
    : m_context(context), m_acceptor(std::move(acceptor)), m_options(options),
      m_open(std::make_shared<daemon::connections::open_connections>(
          context.io,
          daemon::connections::open_connections::options{.server = "entry",
                                                         .request_bytes = options.request_bytes})),
      m_places(std::make_shared<daemon::connections::places>(context.io, m_open,
                                                             options.max_connections)),
      m_sockets(options.socket_bytes), m_turns(context.io) {
  daemon::spawn(m_context.io, "entry",
                daemon::connections::accept_all(
                    m_context.io, m_acceptor, "entry",
                    [this](daemon::tcp_socket socket) { start(std::move(socket)); }));
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
  daemon::connections::accept_waiting(
      m_context.io, m_acceptor, std::numeric_limits<std::size_t>::max(),
      [this](daemon::tcp_socket socket) { start(std::move(socket)); });
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

void entry_server::start(daemon::tcp_socket socket) {
  bool const has_place = m_places->make_place();
  if (!has_place && !m_places->may_wait()) {
    return;
  }
  boost::system::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  auto socket_memory = m_sockets.bound(socket);
  auto accepted = std::make_shared<connection>(std::move(socket), m_open, m_places, has_place,
                                               std::move(socket_memory));
  m_connections.insert(accepted);
  daemon::spawn(m_context.io, "entry", serve(std::move(accepted)));
}

awaitable<void> entry_server::serve(std::shared_ptr<connection> connection) {
  try {
    if (co_await connection->place.wait()) {
      co_await serve_requests(*connection);
    } else {
      co_await reject_connection(*connection);
    }
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
    auto request = co_await read_request(connection);
    if (!request) {
      break;
    }
    daemon::scoped_count const active(m_active_exchanges);
    auto const current_exchange = std::make_shared<exchange>(m_context, connection.stream,
                                                             connection.entry, std::move(*request));
    connection.current_exchange = current_exchange;
    is_open = co_await current_exchange->run();
    connection.entry.release_body();
    connection.has_been_served = true;
    // Whoever waits for a place goes before the next request on a connection that has had one.
    is_open = is_open && !connection.place.give_way();
    bool const is_next_here = is_open && connection.buffer.storage().size() > 0;
    connection.entry.set_pipelined(is_next_here);
    if (is_next_here) {
      connection.entry.begin(connection_phase::reading);
      co_await m_turns.wait();
      is_open = !connection.entry.closing();
    }
  }
}

awaitable<std::optional<incoming_request>> entry_server::read_request(connection& connection) {
  auto& entry = connection.entry;
  request_parser parser;
  parser.body_limit(m_context.router.limits().max_body_bytes);
  entry.begin(connection.has_been_served ? connection_phase::resting : connection_phase::unused);
  if (!co_await read_header(connection, parser)) {
    co_return std::nullopt;
  }
  auto const arrived_at = now();
  connection.parser = &parser;
  connection.header_at = arrived_at;
  bool const is_whole = co_await read_rest(connection, parser);
  connection.parser = nullptr;
  if (!is_whole) {
    co_return std::nullopt;
  }
  entry.serve();
  connection.stream.expires_never();
  co_return incoming_request{
      .message = daemon::take_request(parser), .arrived_at = arrived_at, .last_byte_at = now()};
}

awaitable<bool> entry_server::read_header(connection& connection, request_parser& parser) {
  auto const& limits = m_context.router.limits();
  bool const has_header_timeout = limits.header_timeout > base::duration::zero();
  connection.is_awaiting_request = true;
  auto const error = co_await daemon::read_header(
      connection.stream, connection.buffer, parser,
      {.max_bytes = limits.max_header_bytes,
       .idle_timeout = limits.idle_timeout,
       .timeout = has_header_timeout ? limits.header_timeout : limits.idle_timeout});
  connection.is_awaiting_request = false;
  bool const is_malformed = error && error.category() == http::make_error_code({}).category() &&
                            error != http::error::end_of_stream &&
                            error != http::error::partial_message;
  if (error == http::error::header_limit) {
    co_await reject(connection, http::status::request_header_fields_too_large, "header_too_large");
  } else if (error == http::error::body_limit) {
    co_await reject(connection, http::status::payload_too_large, "body_too_large");
  } else if (error == boost::system::errc::not_enough_memory) {
    co_await reject(connection, http::status::service_unavailable, "headers_exceed_memory");
  } else if (is_malformed) {
    co_await reject(connection, http::status::bad_request, "malformed");
  } else if (error == asio::error::operation_aborted && connection.is_refused) {
    co_await refuse_unread(connection);
  }
  if (error) {
    co_return false;
  }
  if (!has_unambiguous_framing(parser)) {
    co_await reject(connection, http::status::bad_request, "ambiguous_length");
    co_return false;
  }
  co_return true;
}

awaitable<bool> entry_server::read_rest(connection& connection, request_parser& parser) {
  if (parser.is_done()) {
    co_return true;
  }
  if (now() > latest_arrival(connection)) {
    co_await refuse_unread(connection);
    co_return false;
  }
  auto const facts = m_context.protocol_adapter.read_request(parser.get().base());
  auto const refused = facts ? m_context.router.refuse_by_header(*facts) : std::nullopt;
  if (refused) {
    // Nobody needs the body of a request that no customer may send.
    co_await write_refusal(connection, *refused);
    co_await discard_rest(connection.stream, connection.buffer, refused_rest);
    co_return false;
  }
  auto const timeout = m_context.protocol_adapter.read_timeout(parser.get().base());
  connection.stream.expires_after(m_context.router.time_of(timeout.value_or(std::nullopt)));
  if (parser.get()[http::field::expect] == "100-continue") {
    constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(connection.stream, asio::buffer(continue_response), completion);
  }
  m_sockets.raise(connection.stream.socket(), connection.socket_memory);
  bool const is_whole = co_await read_body(connection, parser);
  m_sockets.lower(connection.stream.socket(), connection.socket_memory);
  co_return is_whole;
}

awaitable<bool> entry_server::read_body(connection& connection, request_parser& parser) {
  auto const failure = co_await proxy::read_body(connection.stream, connection.buffer, parser);
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
  co_await write_refusal(connection, m_context.router.refuse_unread());
  auto const& limits = m_context.router.limits();
  discard_limits const rest{.max_pause = discard_pause,
                            .max_time = limits.idle_timeout,
                            .max_bytes = daemon::max_bytes_on_wire(limits.max_body_bytes)};
  co_await discard_rest(connection.stream, connection.buffer, rest);
}

awaitable<void> entry_server::write_refusal(connection& connection, refusal const& refusal) {
  auto const described = open_request_of(connection).value_or(open_request{});
  bool const is_relayed =
      connection.parser != nullptr && has_relay_header(connection.parser->get().base());
  connection.parser = nullptr;
  spdlog::info("entry refused request={} reason={} route={}",
               described.id.is_empty() ? "-" : described.id.value, name_of(refusal.kind),
               described.route);
  m_context.metrics.observe_request({}, described.route, request_end::refused,
                                    name_of(refusal.kind),
                                    now() - described.header_at.value_or(now()));
  auto answer = m_context.protocol_adapter.write_refusal(refusal);
  if (is_relayed && refusal.kind == refusal_kind::stopping) {
    add_stopping_header(answer.base());
  }
  auto const bytes = serialize_response(answer.base(), answer.body(), false);
  connection.stream.expires_after(reject_timeout);
  co_await asio::async_write(connection.stream, asio::buffer(bytes), completion);
}

awaitable<void> entry_server::reject_connection(connection& connection) {
  request_parser parser;
  auto const error =
      co_await daemon::read_header(connection.stream, connection.buffer, parser,
                                   {.max_bytes = m_context.router.limits().max_header_bytes,
                                    .idle_timeout = reject_timeout,
                                    .timeout = reject_timeout});
  if (!error) {
    co_await reject(connection, http::status::service_unavailable, "too_many_connections");
  }
}

bool entry_server::may_log(char const* reason) {
  auto& next_line = m_next_lines[reason];
  if (now() < next_line) {
    return false;
  }
  next_line = now() + reject_line_interval;
  return true;
}

awaitable<void> entry_server::reject(connection& connection, http::status status,
                                     char const* reason) {
  if (may_log(reason)) {
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
