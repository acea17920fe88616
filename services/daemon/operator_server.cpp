#include <libraries/operators/codec.h>
#include <services/daemon/body_reader.h>
#include <services/daemon/connections/accept_loop.h>
#include <services/daemon/coroutine.h>
#include <services/daemon/operator_server.h>
#include <services/daemon/scoped_count.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <map>
#include <optional>

namespace catkinlanding::daemon {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::uint32_t max_header_size = 16 * 1024;
constexpr std::size_t max_body_size = 16 * 1024 * 1024;
constexpr std::chrono::seconds timeout{30};

struct waiting_command {
  explicit waiting_command(asio::io_context& context) : wakeup(context) {
    wakeup.expires_after(timeout);
  }

  std::optional<operators::reply> reply;
  steady_timer wakeup;
};

} // namespace

class operator_server::implementation : public std::enable_shared_from_this<implementation> {
public:
  implementation(asio::io_context& context, tcp::acceptor acceptor,
                 resources::call_plan const& bounds, handler on_command)
      : m_context(context), m_on_command(std::move(on_command)), m_acceptor(std::move(acceptor)),
        m_max_connections(bounds.max_connections),
        m_open(std::make_shared<connections::open_connections>(
            context, connections::open_connections::options{.server = "operators",
                                                            .request_bytes = bounds.request_bytes,
                                                            .answer_bytes = bounds.answer_bytes})) {
  }

  void start() {
    spawn(m_context, "operators",
          connections::accept_all(
              m_context, m_acceptor, "operators",
              [self = shared_from_this()](tcp_socket socket) { self->take(std::move(socket)); }));
  }

  void answer(operators::answer const& answer) {
    if (auto const it = m_waiting.find(answer.number); it != m_waiting.end()) {
      it->second->reply = answer.reply;
      it->second->wakeup.cancel();
    }
  }

private:
  struct connection {
    connection(tcp_socket socket, std::shared_ptr<connections::open_connections> all)
        : stream(std::move(socket)), entry(std::move(all), stream), buffer(entry) {}

    tcp_stream stream;
    connections::open_connections::entry entry;
    request_buffer buffer;
  };

  void take(tcp_socket socket) {
    if (m_connections < m_max_connections || m_open->close_one()) {
      boost::system::error_code ignored;
      socket.non_blocking(true, ignored);
      spawn(m_context, "operators",
            serve(shared_from_this(), std::make_shared<connection>(std::move(socket), m_open)));
    }
  }

  static awaitable<void> serve(std::shared_ptr<implementation> self,
                               std::shared_ptr<connection> connection) {
    scoped_count const active(self->m_connections);
    co_await self->exchange(*connection);
  }

  awaitable<void> exchange(connection& connection) {
    auto& stream = connection.stream;
    request_parser parser;
    parser.body_limit(max_body_size);
    auto const head_error = co_await read_header(
        stream, connection.buffer, parser,
        {.max_bytes = max_header_size, .idle_timeout = timeout, .timeout = timeout});
    if (head_error) {
      co_return;
    }
    if (!has_unambiguous_framing(parser)) {
      co_return co_await reject(connection, http::status::bad_request);
    }
    if (parser.get().target() != operators::command_path) {
      co_return co_await reject(connection, http::status::not_found);
    }
    auto const error = co_await read_body(stream, connection.buffer, parser);
    if (error == boost::system::errc::not_enough_memory) {
      co_return co_await reject(connection, http::status::service_unavailable);
    }
    if (error) {
      co_return;
    }
    connection.entry.serve();
    auto request = operators::decode_request(parser.get().body());
    operators::reply reply = operators::refusal{operators::refusal_kind::malformed};
    if (request) {
      reply = co_await run(std::move(*request));
    }
    http::response<http::string_body> response{http::status::ok, 11};
    response.set(http::field::content_type, "application/octet-stream");
    response.body() = operators::encode(reply);
    connection.entry.release_body();
    if (!connection.entry.try_hold_answer(response.body().size())) {
      // The command was run, so that no refusal would be true.
      co_return;
    }
    co_await write(connection, response);
  }

  static awaitable<void> reject(connection& connection, http::status status) {
    http::response<http::string_body> response{status, 11};
    co_await write(connection, response);
  }

  static awaitable<void> write(connection& connection,
                               http::response<http::string_body>& response) {
    response.keep_alive(false);
    response.prepare_payload();
    connections::open_connections::writing_scope const writing(connection.entry);
    connection.stream.expires_after(timeout);
    co_await http::async_write(connection.stream, response, completion);
  }

  awaitable<operators::reply> run(operators::request request) {
    auto const number = ++m_last_number;
    auto waiting = std::make_shared<waiting_command>(m_context);
    m_waiting[number] = waiting;
    m_on_command({.number = number, .request = std::move(request)});
    if (!waiting->reply) {
      co_await waiting->wakeup.async_wait(completion);
    }
    m_waiting.erase(number);
    co_return waiting->reply.value_or(operators::refusal{operators::refusal_kind::outcome_unknown});
  }

  asio::io_context& m_context;
  handler m_on_command;
  tcp::acceptor m_acceptor;
  std::size_t m_max_connections;
  std::size_t m_connections = 0;
  std::shared_ptr<connections::open_connections> m_open;
  std::uint64_t m_last_number = 0;
  std::map<std::uint64_t, std::shared_ptr<waiting_command>> m_waiting;
};

operator_server::operator_server(asio::io_context& context, tcp::acceptor acceptor,
                                 resources::call_plan const& bounds, handler on_command)
    : m_implementation(std::make_shared<implementation>(context, std::move(acceptor), bounds,
                                                        std::move(on_command))) {
  m_implementation->start();
}

operator_server::~operator_server() = default;

void operator_server::answer(operators::answer const& answer) {
  m_implementation->answer(answer);
}

} // namespace catkinlanding::daemon
