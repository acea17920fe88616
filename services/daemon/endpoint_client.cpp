#include <services/daemon/connections/socket_buffers.h>
#include <services/daemon/coroutine.h>
#include <services/daemon/endpoint_client.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace catkinlanding::daemon {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::size_t max_idle_connections_per_endpoint = 64;
/// The last bytes of an answer are kept up to this size, because inference engines report their
/// token counts there.
constexpr std::size_t max_tail_size = 8 * 1024;
constexpr std::size_t read_buffer_size = 16 * 1024;
constexpr std::string_view not_run_header = "Catkinlanding-Not-Run";
constexpr std::string_view stream_end_marker = "[DONE]";
/// After the last event of a stream, for the end of the response. The answer is whole without it,
/// but the connection can't be used again.
constexpr std::chrono::seconds stream_end_timeout{1};

requests::token_usage parse_usage(std::string_view tail) {
  auto const at = tail.rfind("\"usage\"");
  auto const open = at == std::string_view::npos ? at : tail.find('{', at);
  auto const close = open == std::string_view::npos ? open : tail.find('}', open);
  if (close == std::string_view::npos) {
    return {};
  }
  auto const usage = nlohmann::json::parse(tail.substr(open, close - open + 1), nullptr,
                                           /*allow_exceptions=*/false);
  if (!usage.is_object()) {
    return {};
  }
  auto const tokens = [&](char const* name) {
    auto const it = usage.find(name);
    bool const is_count = it != usage.end() && it->is_number_unsigned();
    return is_count ? it->template get<std::uint64_t>() : std::uint64_t{0};
  };
  return {.prompt_tokens = tokens("prompt_tokens"),
          .completion_tokens = tokens("completion_tokens")};
}

/// Whether the last bytes of a stream are its last event. Its line can't be part of a token's text,
/// in which line breaks are escaped.
bool ends_with_last_event(std::string_view tail) {
  auto const end = tail.find_last_not_of("\r\n");
  auto const text = end == std::string_view::npos ? std::string_view() : tail.substr(0, end + 1);
  auto const line = text.substr(text.find_last_of("\r\n") + 1);
  return line.starts_with("data:") && line.ends_with(stream_end_marker) &&
         line.find_first_not_of(' ', std::string_view("data:").size()) ==
             line.size() - stream_end_marker.size();
}

struct exchange {
  exchange(asio::io_context& context, std::shared_ptr<std::size_t> connections)
      : all(std::move(connections)), stream(context) {
    ++*all;
  }
  ~exchange() { --*all; }
  exchange(exchange const&) = delete;
  exchange& operator=(exchange const&) = delete;

  /// The number of all connections.
  std::shared_ptr<std::size_t> all;
  tcp_stream stream;
  /// What the kernel may receive for it.
  std::optional<base::memory_share> socket_memory;
  beast::flat_buffer buffer;
  /// Buffer for the response body. Reused by later requests on this connection.
  std::vector<char> read_buffer = std::vector<char>(read_buffer_size);
  bool is_cancelled = false;
};

} // namespace

class endpoint_client::implementation : public std::enable_shared_from_this<implementation> {
public:
  implementation(asio::io_context& context, options options, handler on_event)
      : m_context(context), m_options(options), m_on_event(std::move(on_event)),
        m_arriving({.max_bytes = options.arriving_bytes, .free_memory_divisor = 0}),
        m_sockets(options.socket_bytes) {}

  void start(requests::dispatch dispatch) {
    auto exchange = take_idle_connection(dispatch.address);
    // Registered before the coroutine starts, so that `cancel` finds it at any time.
    m_exchanges[dispatch.attempt] = exchange;
    spawn(m_context, "endpoints", run(shared_from_this(), exchange, std::move(dispatch)));
  }

  void cancel(requests::attempt_number attempt) {
    auto const it = m_exchanges.find(attempt);
    if (it != m_exchanges.end()) {
      it->second->is_cancelled = true;
      it->second->stream.close();
    }
  }

private:
  using result = std::variant<requests::attempt_finished, requests::attempt_failed>;

  static awaitable<void> run(std::shared_ptr<implementation> self,
                             std::shared_ptr<exchange> exchange, requests::dispatch dispatch) {
    if (exchange->is_cancelled) {
      self->m_exchanges.erase(dispatch.attempt);
      co_return;
    }
    auto outcome = co_await self->perform(*exchange, dispatch);
    self->m_exchanges.erase(dispatch.attempt);
    if (exchange->is_cancelled) {
      co_return;
    }
    if (std::holds_alternative<requests::attempt_finished>(outcome)) {
      self->keep_idle_connection(dispatch.address, exchange);
    }
    std::visit([&](auto& event) { self->m_on_event(event); }, outcome);
  }

  awaitable<result> perform(exchange& exchange, requests::dispatch const& dispatch) {
    auto const failed = [&](requests::attempt_failure_kind kind) {
      return requests::attempt_failed{.attempt = dispatch.attempt, .kind = kind};
    };
    auto& stream = exchange.stream;
    if (!stream.socket().is_open() && !co_await connect(exchange, dispatch.address)) {
      co_return failed(requests::attempt_failure_kind::not_sent);
    }
    auto const request = make_request(dispatch);
    stream.expires_after(m_options.write_timeout);
    auto const [write_error, written] = co_await http::async_write(stream, request, completion);
    if (write_error) {
      co_return failed(requests::attempt_failure_kind::broken);
    }
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    // The response to HEAD has a Content-Length but no body.
    parser.skip(dispatch.method == "HEAD");
    stream.expires_after(m_options.head_timeout);
    auto const [head_error, head_size] =
        co_await http::async_read_header(stream, exchange.buffer, parser, completion);
    bool const is_informational =
        http::to_status_class(parser.get().result()) == http::status_class::informational;
    if (head_error || is_informational || exchange.is_cancelled) {
      stream.close();
      co_return failed(requests::attempt_failure_kind::broken);
    }
    auto const& head = parser.get();
    if (head.find(not_run_header) != head.end()) {
      stream.close();
      co_return failed(requests::attempt_failure_kind::refused);
    }
    if (http::to_status_class(head.result()) == http::status_class::server_error) {
      stream.close();
      co_return failed(requests::attempt_failure_kind::error_status);
    }
    m_on_event(requests::attempt_head{.attempt = dispatch.attempt,
                                      .status = head.result_int(),
                                      .content_type = head[http::field::content_type]});
    co_return co_await read_body(exchange, parser, dispatch);
  }

  /// Limits the time until the next part of the answer. A stream ends by its request's deadline
  /// alone: its caller has a part of it, so no other endpoint can be asked.
  void limit_silence(tcp_stream& stream, requests::dispatch const& dispatch, bool is_whole) const {
    if (is_whole) {
      stream.expires_after(stream_end_timeout);
    } else if (dispatch.is_stream) {
      stream.expires_never();
    } else {
      stream.expires_after(m_options.silence_timeout);
    }
  }

  awaitable<result> read_body(exchange& exchange, http::response_parser<http::buffer_body>& parser,
                              requests::dispatch const& dispatch) {
    std::string tail;
    std::size_t received = 0;
    base::memory_share memory(m_arriving);
    auto& read_buffer = exchange.read_buffer;
    bool const is_event_stream =
        parser.get()[http::field::content_type].starts_with("text/event-stream");
    while (!parser.is_done()) {
      bool const is_whole = is_event_stream && ends_with_last_event(tail);
      auto& body = parser.get().body();
      body.data = read_buffer.data();
      body.size = read_buffer.size();
      limit_silence(exchange.stream, dispatch, is_whole);
      auto const [error, size] =
          co_await http::async_read_some(exchange.stream, exchange.buffer, parser, completion);
      if (is_whole && error && error != http::error::need_buffer) {
        exchange.stream.close();
        break;
      }
      received += read_buffer.size() - body.size;
      // Answers that aren't streamed are buffered in memory, so their size is limited, and the size
      // of all of them.
      bool const is_too_large =
          !dispatch.is_stream &&
          (received > m_options.max_buffered_answer_size || !memory.try_resize(received));
      if (is_too_large) {
        spdlog::warn("endpoints: the answer of {} exceeds the size limit", dispatch.address.ip);
      }
      if (is_too_large || (error && error != http::error::need_buffer)) {
        exchange.stream.close();
        co_return requests::attempt_failed{.attempt = dispatch.attempt,
                                           .kind = requests::attempt_failure_kind::broken};
      }
      std::string_view const bytes(read_buffer.data(), read_buffer.size() - body.size);
      if (exchange.is_cancelled || bytes.empty()) {
        continue;
      }
      tail += bytes;
      if (tail.size() > max_tail_size) {
        tail.erase(0, tail.size() - max_tail_size);
      }
      m_on_event(requests::attempt_data{.attempt = dispatch.attempt, .bytes = std::string(bytes)});
    }
    if (is_event_stream && tail.find(stream_end_marker) == std::string::npos) {
      exchange.stream.close();
      co_return requests::attempt_failed{.attempt = dispatch.attempt,
                                         .kind = requests::attempt_failure_kind::broken};
    }
    if (!parser.get().keep_alive()) {
      exchange.stream.close();
    }
    co_return requests::attempt_finished{.attempt = dispatch.attempt, .usage = parse_usage(tail)};
  }

  awaitable<bool> connect(exchange& exchange, base::address const& address) {
    boost::system::error_code invalid;
    auto const ip = asio::ip::make_address(address.ip, invalid);
    if (invalid) {
      co_return false;
    }
    tcp::endpoint const target{ip, address.port};
    exchange.stream.socket().open(target.protocol(), invalid);
    if (invalid) {
      spdlog::warn("endpoints: a connection can't be opened: {}", invalid.message());
      co_return false;
    }
    // Set before the connection is opened, so that it holds from the first byte on.
    exchange.socket_memory = m_sockets.bound(exchange.stream.socket());
    exchange.stream.expires_after(m_options.connect_timeout);
    auto const [error] = co_await exchange.stream.async_connect(target, completion);
    if (error) {
      co_return false;
    }
    exchange.stream.expires_never();
    boost::system::error_code ignored;
    exchange.stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return true;
  }

  static http::request<http::string_body> make_request(requests::dispatch const& dispatch) {
    http::request<http::string_body> request;
    request.method_string(dispatch.method);
    request.target(dispatch.path);
    request.version(11);
    request.set(http::field::host, dispatch.address.ip);
    if (!dispatch.content_type.empty()) {
      request.set(http::field::content_type, dispatch.content_type);
    }
    request.set("Catkinlanding-Request", dispatch.request.value);
    request.set("Catkinlanding-Priority", std::to_string(dispatch.priority));
    if (!dispatch.version.is_empty()) {
      request.set("Catkinlanding-Version", dispatch.version.value);
    }
    request.body() = *dispatch.body;
    request.prepare_payload();
    return request;
  }

  std::shared_ptr<exchange> take_idle_connection(base::address const& address) {
    auto& idle = m_idle_connections[address];
    while (!idle.empty()) {
      auto exchange = std::move(idle.back());
      idle.pop_back();
      if (is_alive(*exchange)) {
        return exchange;
      }
    }
    if (*m_connections >= m_options.max_connections) {
      drop_idle_connection();
    }
    return std::make_shared<exchange>(m_context, m_connections);
  }

  void drop_idle_connection() {
    auto const found = std::ranges::find_if(m_idle_connections,
                                            [](auto const& item) { return !item.second.empty(); });
    if (found != m_idle_connections.end()) {
      found->second.erase(found->second.begin());
    }
  }

  /// Returns false if the endpoint has closed the connection. Any readable event on an idle
  /// connection counts as a close, because no response is expected.
  static bool is_alive(exchange& exchange) {
    auto& socket = exchange.stream.socket();
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp_socket::message_peek, error);
    return error == asio::error::would_block;
  }

  void keep_idle_connection(base::address const& address, std::shared_ptr<exchange> exchange) {
    exchange->stream.expires_never();
    auto& idle = m_idle_connections[address];
    if (exchange->stream.socket().is_open() && idle.size() < max_idle_connections_per_endpoint) {
      idle.push_back(std::move(exchange));
    }
  }

  asio::io_context& m_context;
  options m_options;
  handler m_on_event;
  base::memory_budget m_arriving;
  connections::socket_buffers m_sockets;
  std::shared_ptr<std::size_t> m_connections = std::make_shared<std::size_t>(0);
  std::map<requests::attempt_number, std::shared_ptr<exchange>> m_exchanges;
  std::map<base::address, std::vector<std::shared_ptr<exchange>>> m_idle_connections;
};

endpoint_client::endpoint_client(asio::io_context& context, options options, handler on_event)
    : m_implementation(std::make_shared<implementation>(context, options, std::move(on_event))) {}

endpoint_client::~endpoint_client() = default;

void endpoint_client::start(requests::dispatch dispatch) {
  m_implementation->start(std::move(dispatch));
}

void endpoint_client::cancel(requests::attempt_number attempt) {
  m_implementation->cancel(attempt);
}

} // namespace catkinlanding::daemon
