#include <libraries/operators/codec.h>
#include <services/daemon/body_reader.h>
#include <services/daemon/coroutine.h>
#include <services/daemon/operator_server.h>
#include <services/daemon/scoped_count.h>
#include <services/daemon/waiting_connections.h>

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
/// For the bodies of all commands.
constexpr std::size_t max_body_memory = 64UL * 1024 * 1024;
/// For the headers and the framing of commands, beyond a few KiB for each connection.
constexpr std::size_t max_buffer_memory = 2UL * 1024 * 1024;
constexpr std::chrono::seconds timeout{30};
constexpr std::size_t max_connections = 64;

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
  implementation(asio::io_context& context, tcp::acceptor acceptor, handler on_command)
      : m_context(context), m_on_command(std::move(on_command)), m_acceptor(std::move(acceptor)) {}

  void start() { spawn(m_context, "operators", accept(shared_from_this())); }

  void answer(operators::answer const& answer) {
    if (auto const it = m_waiting.find(answer.number); it != m_waiting.end()) {
      it->second->reply = answer.reply;
      it->second->wakeup.cancel();
    }
  }

private:
  static awaitable<void> accept(std::shared_ptr<implementation> self) {
    while (self->m_acceptor.is_open()) {
      auto [error, socket] = co_await self->m_acceptor.async_accept(self->m_context, completion);
      if (error) {
        co_await pause_accepting(self->m_context);
      } else if (self->m_connections < max_connections || self->m_listed.close_longest()) {
        spawn(self->m_context, "operators", serve(self, tcp_stream(std::move(socket))));
      }
    }
  }

  static awaitable<void> serve(std::shared_ptr<implementation> self, tcp_stream stream) {
    scoped_count const active(self->m_connections);
    co_await self->exchange(stream);
  }

  awaitable<void> exchange(tcp_stream& stream) {
    std::optional<waiting_connections::entry> waiting(std::in_place, m_listed, stream);
    request_buffer buffer(m_buffer_memory);
    request_parser parser;
    parser.body_limit(max_body_size);
    stream.expires_after(timeout);
    auto const head_error = co_await read_header(stream, buffer, parser, max_header_size);
    if (head_error) {
      co_return;
    }
    if (!has_unambiguous_framing(parser)) {
      co_return co_await reject(stream, http::status::bad_request);
    }
    base::memory_share memory(m_body_memory);
    if (!reserve_body(parser, memory)) {
      co_return co_await reject(stream, http::status::service_unavailable);
    }
    auto const error = co_await read_body(stream, buffer, parser, memory);
    waiting.reset();
    if (error) {
      co_return;
    }
    if (parser.get().target() != operators::command_path) {
      co_return co_await reject(stream, http::status::not_found);
    }
    auto request = operators::decode_request(parser.get().body());
    operators::reply reply = operators::refusal{operators::refusal_kind::malformed};
    if (request) {
      reply = co_await run(std::move(*request));
    }
    http::response<http::string_body> response{http::status::ok, 11};
    response.set(http::field::content_type, "application/octet-stream");
    response.keep_alive(false);
    response.body() = operators::encode(reply);
    response.prepare_payload();
    stream.expires_after(timeout);
    co_await http::async_write(stream, response, completion);
  }

  static awaitable<void> reject(tcp_stream& stream, http::status status) {
    http::response<http::string_body> response{status, 11};
    response.keep_alive(false);
    response.prepare_payload();
    co_await http::async_write(stream, response, completion);
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
  std::size_t m_connections = 0;
  base::memory_budget m_body_memory{{.max_bytes = max_body_memory, .free_memory_divisor = 1}};
  base::memory_budget m_buffer_memory{{.max_bytes = max_buffer_memory}};
  waiting_connections m_listed{"operators"};
  std::uint64_t m_last_number = 0;
  std::map<std::uint64_t, std::shared_ptr<waiting_command>> m_waiting;
};

operator_server::operator_server(asio::io_context& context, tcp::acceptor acceptor,
                                 handler on_command)
    : m_implementation(
          std::make_shared<implementation>(context, std::move(acceptor), std::move(on_command))) {
  m_implementation->start();
}

operator_server::~operator_server() = default;

void operator_server::answer(operators::answer const& answer) {
  m_implementation->answer(answer);
}

} // namespace catkinlanding::daemon
