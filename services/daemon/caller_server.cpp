#include <services/daemon/caller_answers.h>
#include <services/daemon/caller_connection.h>
#include <services/daemon/caller_headers.h>
#include <services/daemon/caller_protocol.h>
#include <services/daemon/caller_server.h>
#include <services/daemon/clock.h>
#include <services/daemon/connections/accept_loop.h>
#include <services/daemon/connections/socket_buffers.h>
#include <services/daemon/connections/turn_limiter.h>
#include <services/daemon/coroutine.h>
#include <services/daemon/reply_queue.h>
#include <services/daemon/scoped_count.h>
#include <services/daemon/socket_state.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <limits>
#include <map>

namespace catkinlanding::daemon {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using writing_scope = connections::open_connections::writing_scope;

/// Limits the rate of log lines about answers that are cut.
constexpr std::chrono::seconds cut_line_interval{1};
constexpr std::chrono::seconds rejection_timeout{1};
constexpr std::string_view services_prefix = "/services/";

} // namespace

class caller_server::implementation : public std::enable_shared_from_this<implementation> {
public:
  implementation(asio::io_context& context, tcp::acceptor acceptor, options options,
                 handlers handlers)
      : m_context(context), m_options(options), m_handlers(std::move(handlers)),
        m_acceptor(std::move(acceptor)),
        m_open(std::make_shared<connections::open_connections>(
            context, connections::open_connections::options{.server = "callers",
                                                            .request_bytes = options.request_bytes,
                                                            .answer_bytes = options.answer_bytes})),
        m_places(std::make_shared<connections::places>(context, m_open, options.max_connections)),
        m_sockets(options.socket_bytes), m_turns(context) {}

  void start() {
    spawn(m_context, "callers",
          connections::accept_all(m_context, m_acceptor, "callers",
                                  [self = shared_from_this()](tcp_socket socket) {
                                    self->handle_connection(std::move(socket));
                                  }));
  }

  void push(requests::request_number number, caller_reply reply) {
    auto const it = m_queues.find(number);
    if (it == m_queues.end() || it->second->is_aborted || it->second->connection.closing()) {
      return;
    }
    auto& queue = *it->second;
    if (auto const* head = std::get_if<requests::reply_head>(&reply)) {
      queue.is_stream = head->is_stream;
    }
    auto const* data = std::get_if<requests::reply_data>(&reply);
    bool const is_unread = queue.is_stream && data != nullptr &&
                           queue.waiting_bytes + data->bytes.size() > m_options.max_queued_bytes;
    if (is_unread || (data != nullptr && !queue.try_hold(data->bytes.size()))) {
      note_cut_answer(is_unread ? "unread" : "answers_exceed_memory");
      queue.abort_answer(number);
      report_disconnect(number);
      return;
    }
    queue.push(std::move(reply));
  }

  void stop_accepting() {
    m_is_stopping = true;
    accept_pending_connections();
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
  }

  [[nodiscard]] bool is_idle() const { return m_busy_connections == 0; }

private:
  /// Posts the event, because the reducer may be on the call stack and isn't reentrant.
  void report_disconnect(requests::request_number number) {
    asio::post(m_context, [self = shared_from_this(), number] {
      self->m_handlers.on_request_event(requests::caller_disconnected{number});
    });
  }

  /// Accepts the connections in the listen backlog; closing the acceptor would reset them.
  void accept_pending_connections() {
    connections::accept_waiting(
        m_context, m_acceptor, std::numeric_limits<std::size_t>::max(),
        [this](tcp_socket socket) { handle_connection(std::move(socket)); });
  }

  void handle_connection(tcp_socket socket) {
    bool const has_place = m_places->make_place();
    if (!has_place && !m_places->may_wait()) {
      return;
    }
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::no_delay(true), ignored);
    auto share = m_sockets.bound(socket);
    auto accepted = std::make_shared<caller_connection>(std::move(socket), m_open, m_places,
                                                        has_place, std::move(share));
    spawn(m_context, "callers", serve(shared_from_this(), std::move(accepted)));
  }

  void note_cut_answer(char const* reason) {
    ++m_cut_answers;
    auto const time = now();
    if (time >= m_next_cut_line) {
      m_next_cut_line = time + cut_line_interval;
      spdlog::info("callers: answers are cut reason={} total={}", reason, m_cut_answers);
    }
  }

  static awaitable<void> serve(std::shared_ptr<implementation> self,
                               std::shared_ptr<caller_connection> connection) {
    bool const has_place = co_await connection->place.wait();
    if (has_place) {
      co_await self->serve_requests(connection);
    } else {
      co_await self->reject_connection(*connection);
    }
  }

  awaitable<void> serve_requests(std::shared_ptr<caller_connection> const& connection) {
    auto& stream = connection->stream;
    bool keeps_alive = true;
    while (keeps_alive) {
      auto& entry = connection->entry;
      entry.begin(connection->has_been_served ? resources::connection_phase::resting
                                              : resources::connection_phase::unused);
      request_parser parser;
      parser.body_limit(m_options.max_body_size);
      auto const& timeout = m_options.read_timeout;
      auto const head_error = co_await read_header(
          stream, connection->buffer, parser,
          {.max_bytes = m_options.max_header_size, .idle_timeout = timeout, .timeout = timeout});
      scoped_count const busy(m_busy_connections);
      auto const arrived_at = now();
      if (!head_error) {
        // Nobody waits for the rest of a body beyond the deadline that its caller states.
        auto const deadline = read_deadline(parser.get()).value_or(std::nullopt);
        auto const left = connection->buffer.begun_at() + timeout - arrived_at;
        stream.expires_after(deadline ? std::min(left, *deadline) : left);
      }
      auto const error = head_error ? head_error : co_await connection->read_body(parser);
      if (error) {
        co_await send_parse_error(*connection, error);
        break;
      }
      entry.serve();
      incoming_request request{.message = take_request(parser), .arrived_at = arrived_at};
      keeps_alive = co_await handle_request(connection, std::move(request));
      connection->has_been_served = true;
      entry.release_body();
      entry.release_answer();
      // Whoever waits for a place goes before the next request on a connection that has had one.
      keeps_alive = keeps_alive && !connection->place.give_way();
      if (keeps_alive && connection->buffer.storage().size() > 0) {
        entry.begin(resources::connection_phase::reading);
        co_await m_turns.wait();
      }
      keeps_alive = keeps_alive && !entry.closing();
    }
    beast::error_code ignored;
    stream.socket().shutdown(tcp_socket::shutdown_both, ignored);
  }

  /// Answers a caller beyond the connection limit with 503. When there is room is not known.
  awaitable<void> reject_connection(caller_connection& connection) {
    auto& stream = connection.stream;
    request_parser parser;
    parser.body_limit(m_options.max_body_size);
    auto const error = co_await read_header(stream, connection.buffer, parser,
                                            {.max_bytes = m_options.max_header_size,
                                             .idle_timeout = rejection_timeout,
                                             .timeout = rejection_timeout});
    if (error) {
      co_return;
    }
    auto const response = make_closing_response(http::status::service_unavailable,
                                                message_error::too_many_connections);
    co_await http::async_write(stream, response, completion);
    co_await connection.drain(rejection_timeout);
  }

  awaitable<void> send_parse_error(caller_connection& connection, beast::error_code error) {
    if (error == boost::system::errc::not_enough_memory) {
      spdlog::warn("callers: refused reason=bodies_exceed_memory used={}", m_open->request_bytes());
    }
    auto const response = make_parse_error_response(error);
    if (!response) {
      co_return;
    }
    connection.stream.expires_after(m_options.write_timeout);
    co_await http::async_write(connection.stream, *response, completion);
    co_await connection.drain(rejection_timeout);
  }

  awaitable<bool> handle_request(std::shared_ptr<caller_connection> connection,
                                 incoming_request request) {
    auto& message = request.message;
    std::string_view const target = message.target();
    if (target == "/v1/chat/completions" && message.method() == http::verb::post) {
      co_return co_await handle_completion(connection, std::move(request));
    }
    if (target.starts_with(services_prefix)) {
      co_return co_await handle_service_call(connection, std::move(request));
    }
    if (target == "/endpoints/announce" && message.method() == http::verb::post) {
      co_return co_await handle_announcement(*connection, std::move(message));
    }
    if (target == "/metrics") {
      co_return co_await send_response(*connection, message, http::status::ok,
                                       "text/plain; version=0.0.4", m_handlers.metrics());
    }
    if (target == "/healthz") {
      bool const is_ready = m_handlers.is_ready();
      co_return co_await send_response(
          *connection, message, is_ready ? http::status::ok : http::status::service_unavailable,
          "text/plain", is_ready ? "ok\n" : "not ready\n");
    }
    co_return co_await send_response(*connection, message, http::status::not_found,
                                     "application/json",
                                     make_error_response(message_error::unknown_path));
  }

  awaitable<bool> handle_completion(std::shared_ptr<caller_connection> connection,
                                    incoming_request request) {
    auto const& message = request.message;
    auto const fields = parse_completion(message.body());
    if (!fields) {
      co_return co_await send_response(*connection, message, http::status::bad_request,
                                       "application/json", make_error_response(fields.error()));
    }
    // Must be a named variable: the compiler destroys a braced temporary twice if it is part of a
    // co_await expression.
    requests::request_target target = requests::completion_target{fields->model};
    co_return co_await submit(connection, request, std::move(target), fields->is_stream);
  }

  awaitable<bool> handle_service_call(std::shared_ptr<caller_connection> connection,
                                      incoming_request request) {
    auto const& message = request.message;
    auto const rest = std::string_view(message.target()).substr(services_prefix.size());
    auto const slash = std::min(rest.find('/'), rest.size());
    requests::service_target called{.service = {std::string(rest.substr(0, slash))},
                                    .method = std::string(message.method_string()),
                                    .path = std::string(rest.substr(slash))};
    if (called.path.empty()) {
      called.path = "/";
    }
    requests::request_target target = std::move(called);
    co_return co_await submit(connection, request, std::move(target), false);
  }

  awaitable<bool> handle_announcement(caller_connection& connection, caller_message message) {
    auto announcement = parse_announcement(message.body());
    if (!announcement) {
      co_return co_await send_response(connection, message, http::status::bad_request,
                                       "application/json",
                                       make_error_response(announcement.error()));
    }
    m_handlers.on_announcement(std::move(*announcement));
    co_return co_await send_response(connection, message, http::status::ok, "application/json",
                                     R"({"announce_again_ms":1000})");
  }

  awaitable<bool> submit(std::shared_ptr<caller_connection> connection, incoming_request& incoming,
                         requests::request_target target, bool is_stream) {
    auto& message = incoming.message;
    auto request = read_headers(message);
    if (!request) {
      co_return co_await send_response(*connection, message, http::status::bad_request,
                                       "application/json", make_error_response(request.error()));
    }
    auto const number = ++m_last_number;
    request->number = number;
    request->target = std::move(target);
    request->is_stream = is_stream;
    request->waited = now() - incoming.arrived_at;
    request->received_at =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    request->body = std::make_shared<std::string const>(std::move(message.body()));
    auto queue = std::make_shared<reply_queue>(m_context, connection->entry);
    m_queues[number] = queue;
    watch_for_disconnect(connection, number);
    m_handlers.on_request_event(std::move(*request));
    bool const keeps_alive = co_await write_replies(*connection, message, *queue);
    m_queues.erase(number);
    if (!keeps_alive) {
      m_handlers.on_request_event(requests::caller_disconnected{number});
    }
    co_return keeps_alive;
  }

  /// Reports a caller that disconnects before its answer is complete. If the caller pipelines its
  /// next request, the socket becomes readable and a later disconnect isn't detected here.
  void watch_for_disconnect(std::shared_ptr<caller_connection> const& connection,
                            requests::request_number number) {
    connection->stream.socket().async_wait(
        tcp_socket::wait_read,
        [weak = weak_from_this(), connection, number](boost::system::error_code error) {
          auto const self = weak.lock();
          if (error || !self || !self->m_queues.contains(number) ||
              state_of(connection->stream.socket()) != socket_state::closed) {
            return;
          }
          self->m_queues.at(number)->abort_answer(number);
          self->m_handlers.on_request_event(requests::caller_disconnected{number});
        });
  }

  awaitable<bool> write_replies(caller_connection& connection, caller_message const& message,
                                reply_queue& queue) {
    auto& stream = connection.stream;
    std::optional<requests::reply_head> head;
    std::string body;
    while (true) {
      while (queue.replies.empty()) {
        co_await queue.wakeup.async_wait(completion);
        queue.wakeup.expires_at(steady_timer::time_point::max());
      }
      auto const next = queue.pop();
      stream.expires_after(m_options.write_timeout);
      if (auto const* started = std::get_if<requests::reply_head>(&next)) {
        head = *started;
        bool const is_sent =
            !started->is_stream || co_await send_stream_head(connection, message, *started);
        if (!is_sent) {
          co_return false;
        }
      } else if (auto const* data = std::get_if<requests::reply_data>(&next)) {
        body += data->bytes;
        queue.collected_bytes = body.size();
        bool const has_more = !queue.replies.empty() &&
                              std::holds_alternative<requests::reply_data>(queue.replies.front());
        // Data that arrived during the last write is sent as one chunk.
        if (head->is_stream && !has_more) {
          if (!co_await send_chunk(connection, std::exchange(body, {}))) {
            co_return false;
          }
          queue.collected_bytes = 0;
          // A smaller share is always allowed.
          static_cast<void>(queue.try_hold(0));
        }
      } else if (auto const* failure = std::get_if<requests::reply_failure>(&next)) {
        if (failure->is_answer_started) {
          // The missing last chunk tells the client that the answer is incomplete.
          co_return false;
        }
        co_return co_await send_failure(connection, message, failure->failure);
      } else if (head->is_stream) {
        auto const [error, size] =
            co_await asio::async_write(stream, http::make_chunk_last(), completion);
        co_return !error && keeps_connection(message);
      } else {
        co_return co_await send_buffered_answer(connection, message, *head, std::move(body));
      }
    }
  }

  /// Whether the caller may send another request over its connection after this one.
  [[nodiscard]] bool keeps_connection(caller_message const& message) const {
    return message.keep_alive() && !m_is_stopping && m_handlers.is_ready();
  }

  awaitable<bool> send_stream_head(caller_connection& connection, caller_message const& message,
                                   requests::reply_head const& head) {
    http::response<http::empty_body> response;
    response.result(head.status);
    set_reply_headers(response, head);
    response.keep_alive(keeps_connection(message));
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer{response};
    writing_scope const writing(connection.entry);
    auto const [error, size] =
        co_await http::async_write_header(connection.stream, serializer, completion);
    co_return !error;
  }

  static awaitable<bool> send_chunk(caller_connection& connection, std::string bytes) {
    if (bytes.empty()) {
      // In chunked encoding an empty chunk ends the body.
      co_return true;
    }
    writing_scope const writing(connection.entry);
    auto const [error, size] = co_await asio::async_write(
        connection.stream, http::make_chunk(asio::buffer(bytes)), completion);
    co_return !error;
  }

  awaitable<bool> send_buffered_answer(caller_connection& connection, caller_message const& message,
                                       requests::reply_head const& head, std::string body) {
    http::response<http::string_body> response;
    response.result(head.status);
    set_reply_headers(response, head);
    response.body() = std::move(body);
    co_return co_await send(connection, message, response);
  }

  awaitable<bool> send_failure(caller_connection& connection, caller_message const& message,
                               requests::failure const& failure) {
    auto response = make_failure_response(failure);
    co_return co_await send(connection, message, response);
  }

  awaitable<bool> send_response(caller_connection& connection, caller_message const& message,
                                http::status status, std::string content_type, std::string body) {
    http::response<http::string_body> response{status, 11};
    response.set(http::field::content_type, content_type);
    response.body() = std::move(body);
    co_return co_await send(connection, message, response);
  }

  awaitable<bool> send(caller_connection& connection, caller_message const& message,
                       http::response<http::string_body>& response) {
    response.keep_alive(keeps_connection(message));
    response.prepare_payload();
    if (message.method() == http::verb::head) {
      // The Content-Length stays that of the response to a GET.
      response.body().clear();
    }
    if (!connection.entry.try_hold_answer(response.body().size())) {
      note_cut_answer("answers_exceed_memory");
      co_return false;
    }
    connection.stream.expires_after(m_options.write_timeout);
    writing_scope const writing(connection.entry);
    auto const [error, size] = co_await http::async_write(connection.stream, response, completion);
    co_return !error && response.keep_alive();
  }

  asio::io_context& m_context;
  options m_options;
  handlers m_handlers;
  tcp::acceptor m_acceptor;
  requests::request_number m_last_number = 0;
  std::map<requests::request_number, std::shared_ptr<reply_queue>> m_queues;
  /// Connections with a request that is being received or answered.
  std::size_t m_busy_connections = 0;
  std::shared_ptr<connections::open_connections> m_open;
  std::shared_ptr<connections::places> m_places;
  connections::socket_buffers m_sockets;
  connections::turn_limiter m_turns;
  std::uint64_t m_cut_answers = 0;
  base::monotonic_time m_next_cut_line{};
  bool m_is_stopping = false;
};

caller_server::caller_server(asio::io_context& context, tcp::acceptor acceptor, options options,
                             handlers handlers)
    : m_implementation(std::make_shared<implementation>(context, std::move(acceptor), options,
                                                        std::move(handlers))) {
  m_implementation->start();
}

caller_server::~caller_server() = default;

void caller_server::reply(requests::reply_head const& head) {
  m_implementation->push(head.number, head);
}
void caller_server::reply(requests::reply_data const& data) {
  m_implementation->push(data.number, data);
}
void caller_server::reply(requests::reply_end const& end) {
  m_implementation->push(end.number, end);
}
void caller_server::reply(requests::reply_failure const& failure) {
  m_implementation->push(failure.number, failure);
}

void caller_server::stop_accepting() {
  m_implementation->stop_accepting();
}

bool caller_server::is_idle() const {
  return m_implementation->is_idle();
}

} // namespace catkinlanding::daemon
