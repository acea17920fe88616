#include <utilities/load/generator.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace catkinlanding::load {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using clock = std::chrono::steady_clock;

constexpr auto completion = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds exchange_timeout{30};

class generator {
public:
  generator(asio::io_context& context, options const& options, result& out)
      : m_context(context), m_options(options), m_result(out), m_start(clock::now()),
        m_end(m_start + options.duration) {
    m_request.method(http::verb::post);
    m_request.target(options.path);
    m_request.version(11);
    m_request.set(http::field::host, options.target.ip);
    m_request.set(http::field::content_type, "application/json");
    if (!options.key.empty()) {
      m_request.set(http::field::authorization, "Bearer " + options.key);
    }
    m_request.body() = options.body;
    m_request.prepare_payload();
  }

  /// Sends the requests of one connection, one at a time.
  asio::awaitable<void> run_connection(int connection_index) {
    beast::tcp_stream stream(m_context);
    beast::flat_buffer buffer;
    asio::steady_timer timer(m_context);
    for (std::int64_t request_index = 0; clock::now() < m_end && try_count_request();
         ++request_index) {
      auto const due = due_time(connection_index, request_index);
      if (due >= m_end) {
        co_return;
      }
      if (due > clock::now()) {
        timer.expires_at(due);
        co_await timer.async_wait(completion);
      }
      if (!co_await exchange(stream, buffer, due)) {
        ++m_result.failures;
        stream.close();
        buffer.clear();
      }
    }
  }

private:
  /// Returns whether another request may be sent, and counts it if there is a limit.
  bool try_count_request() { return m_options.requests == 0 || m_sent++ < m_options.requests; }

  /// Returns when a request is due. The requests of all connections are interleaved at equal
  /// intervals to give the configured rate; without a rate each is due at once.
  [[nodiscard]] clock::time_point due_time(int connection_index, std::int64_t request_index) const {
    if (m_options.rate == 0) {
      return clock::now();
    }
    auto const index = request_index * m_options.connections + connection_index;
    return m_start + index * std::chrono::nanoseconds(std::chrono::seconds(1)) / m_options.rate;
  }

  asio::awaitable<bool> exchange(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                 clock::time_point due) {
    stream.expires_after(exchange_timeout);
    if (!stream.socket().is_open() && !co_await connect(stream)) {
      co_return false;
    }
    auto const [write_error, written] = co_await http::async_write(stream, m_request, completion);
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    auto const [head_error, head_size] =
        co_await http::async_read_header(stream, buffer, parser, completion);
    auto const first_byte = clock::now();
    if (write_error || head_error || parser.get().result() != http::status::ok) {
      co_return false;
    }
    auto const [error, size] = co_await http::async_read(stream, buffer, parser, completion);
    if (error) {
      co_return false;
    }
    m_result.first_byte_latency.add(first_byte - due);
    m_result.total_latency.add(clock::now() - due);
    if (!parser.get().keep_alive()) {
      stream.close();
    }
    co_return true;
  }

  asio::awaitable<bool> connect(beast::tcp_stream& stream) {
    boost::system::error_code invalid;
    auto const ip = asio::ip::make_address(m_options.target.ip, invalid);
    if (invalid) {
      co_return false;
    }
    tcp::endpoint const target{ip, m_options.target.port};
    auto const [error] = co_await stream.async_connect(target, completion);
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return !error;
  }

  asio::io_context& m_context;
  options const& m_options;
  result& m_result;
  clock::time_point m_start;
  clock::time_point m_end;
  int m_sent = 0;
  http::request<http::string_body> m_request;
};

} // namespace

result run(options const& options) {
  asio::io_context context(1);
  result out;
  auto const start = clock::now();
  generator generator(context, options, out);
  for (int connection_index = 0; connection_index < options.connections; ++connection_index) {
    asio::co_spawn(context, generator.run_connection(connection_index), asio::detached);
  }
  context.run();
  out.elapsed = clock::now() - start;
  return out;
}

} // namespace catkinlanding::load
