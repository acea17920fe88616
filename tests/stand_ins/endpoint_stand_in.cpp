#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <popt.h>
#include <string>
#include <vector>

/// A test double for a model engine, a plain service or a rating service. It announces itself to
/// entry instances, answers with a fixed number of tokens, and counts how often each request was
/// executed.
namespace catkinlanding::stand_ins {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using nlohmann::json;

constexpr auto completion = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds announce_interval{500};

struct options {
  std::string id;
  std::string zone;
  int port = 0;
  /// Ports of entry instances; announcements go to them in round-robin order.
  std::vector<int> entry_ports;
  /// The versions that an engine serves, as `MODEL/VERSION`.
  std::vector<std::string> versions;
  /// The name of a plain service; empty for engines and rating services.
  std::string service;
  bool is_rating_service = false;
  /// A rating service rates every n-th answer of these versions as poor, and all others as good.
  std::map<std::string, int> poor_answer_intervals;
  int tokens = 8;
  std::chrono::milliseconds token_delay{0};
  /// The delay before the first byte of an answer.
  std::chrono::milliseconds first_byte_delay{0};
  /// On SIGTERM, stops announcing itself without deregistering, and keeps accepting requests until
  /// it is killed.
  bool skips_deregistration = false;
  /// Versions (without the model name) for which every request fails.
  std::vector<std::string> failing_versions;
};

using request = http::request<http::string_body>;

class endpoint {
public:
  endpoint(asio::io_context& context, options options)
      : m_context(context), m_options(std::move(options)),
        m_acceptor(context, tcp::endpoint{asio::ip::address_v4::loopback(),
                                          static_cast<std::uint16_t>(m_options.port)}),
        m_incarnation(static_cast<std::uint64_t>(
            std::chrono::system_clock::now().time_since_epoch().count())) {
    asio::co_spawn(context, accept(), asio::detached);
    asio::co_spawn(context, announce_periodically(), asio::detached);
  }

  /// Deregisters at all entry instances, finishes the requests in flight, and ends.
  void leave() {
    m_is_leaving = true;
    if (m_options.skips_deregistration) {
      return;
    }
    asio::co_spawn(m_context, deregister(), asio::detached);
  }

private:
  asio::awaitable<void> accept() {
    while (true) {
      auto [error, socket] = co_await m_acceptor.async_accept(completion);
      if (!error) {
        socket.set_option(tcp::no_delay(true));
        asio::co_spawn(m_context, serve(beast::tcp_stream(std::move(socket))), asio::detached);
      }
    }
  }

  asio::awaitable<void> serve(beast::tcp_stream stream) {
    beast::flat_buffer buffer;
    while (true) {
      request message;
      auto const [error, size] = co_await http::async_read(stream, buffer, message, completion);
      if (error) {
        co_return;
      }
      ++m_in_flight;
      bool const keeps_connection = co_await answer(stream, message);
      --m_in_flight;
      if (!keeps_connection) {
        co_return;
      }
    }
  }

  asio::awaitable<bool> answer(beast::tcp_stream& stream, request const& message) {
    if (message.target() == "/runs") {
      co_return co_await send(stream, message, http::status::ok, json(m_execution_counts).dump());
    }
    if (message.target() == "/poor") {
      // Changes how often the answers of a version are rated as poor.
      auto const rate_change = json::parse(message.body());
      m_options.poor_answer_intervals[rate_change.at("version")] = rate_change.at("every");
      co_return co_await send(stream, message, http::status::ok, "{}");
    }
    if (m_is_leaving && !m_options.skips_deregistration) {
      co_return co_await refuse(stream, message);
    }
    ++m_execution_counts[std::string(message["Catkinlanding-Request"])];
    co_await pause(m_options.first_byte_delay);
    if (m_options.is_rating_service) {
      co_return co_await send(stream, message, http::status::ok, rating_of(message).dump());
    }
    if (!m_options.service.empty()) {
      json const body = {{"service", m_options.service},
                         {"endpoint", m_options.id},
                         {"path", std::string(message.target())},
                         {"echo", message.body()}};
      co_return co_await send(stream, message, http::status::ok, body.dump());
    }
    if (must_fail(std::string(message["Catkinlanding-Version"]))) {
      co_return co_await send(stream, message, http::status::internal_server_error, "{}");
    }
    auto const request_body = json::parse(message.body(), nullptr, false);
    if (request_body.is_object() && request_body.value("stream", false)) {
      co_return co_await stream_answer(stream, message);
    }
    co_await pause(m_options.token_delay * m_options.tokens);
    json const body = {
        {"object", "chat.completion"},
        {"model", std::string(message["Catkinlanding-Version"])},
        {"choices", {{{"message", {{"role", "assistant"}, {"content", completion_text()}}}}}},
        {"usage", usage(message)}};
    co_return co_await send(stream, message, http::status::ok, body.dump());
  }

  asio::awaitable<bool> stream_answer(beast::tcp_stream& stream, request const& message) {
    http::response<http::empty_body> response{http::status::ok, 11};
    response.set(http::field::content_type, "text/event-stream");
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer{response};
    auto const [error, size] = co_await http::async_write_header(stream, serializer, completion);
    if (error) {
      co_return false;
    }
    for (int i = 0; i < m_options.tokens; ++i) {
      co_await pause(m_options.token_delay);
      json event = {{"choices", {{{"delta", {{"content", "word "}}}}}}};
      if (i + 1 == m_options.tokens) {
        event["usage"] = usage(message);
      }
      if (!co_await send_chunk(stream, "data: " + event.dump() + "\n\n")) {
        co_return false;
      }
    }
    if (!co_await send_chunk(stream, "data: [DONE]\n\n")) {
      co_return false;
    }
    auto const [last_error, last_size] =
        co_await asio::async_write(stream, http::make_chunk_last(), completion);
    co_return !last_error;
  }

  static asio::awaitable<bool> send_chunk(beast::tcp_stream& stream, std::string text) {
    auto const [error, size] =
        co_await asio::async_write(stream, http::make_chunk(asio::buffer(text)), completion);
    co_return !error;
  }

  static asio::awaitable<bool> send(beast::tcp_stream& stream, request const& message,
                                    http::status status, std::string body) {
    http::response<http::string_body> response{status, 11};
    response.set(http::field::content_type, "application/json");
    response.keep_alive(message.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    auto const [error, size] = co_await http::async_write(stream, response, completion);
    co_return !error && message.keep_alive();
  }

  static asio::awaitable<bool> refuse(beast::tcp_stream& stream, request const& message) {
    http::response<http::string_body> response{http::status::service_unavailable, 11};
    response.set("Catkinlanding-Not-Run", "leaving");
    response.keep_alive(message.keep_alive());
    response.prepare_payload();
    auto const [error, size] = co_await http::async_write(stream, response, completion);
    co_return !error;
  }

  [[nodiscard]] json rating_of(request const& message) {
    auto const version = json::parse(message.body()).at("version").get<std::string>();
    auto const interval = m_options.poor_answer_intervals.find(version);
    bool const is_poor = interval != m_options.poor_answer_intervals.end() &&
                         ++m_rating_counts[version] % interval->second == 0;
    return {{"good", !is_poor}};
  }

  [[nodiscard]] bool must_fail(std::string const& version) const {
    auto const& failing = m_options.failing_versions;
    return std::find(failing.begin(), failing.end(), version) != failing.end();
  }

  [[nodiscard]] std::string completion_text() const {
    std::string text;
    for (int i = 0; i < m_options.tokens; ++i) {
      text += "word ";
    }
    return text;
  }

  [[nodiscard]] json usage(request const& message) const {
    constexpr std::size_t bytes_per_token = 4;
    return {{"prompt_tokens", message.body().size() / bytes_per_token},
            {"completion_tokens", m_options.tokens}};
  }

  asio::awaitable<void> pause(std::chrono::milliseconds duration) {
    if (duration.count() == 0) {
      co_return;
    }
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(completion);
  }

  asio::awaitable<void> announce_periodically() {
    while (!m_is_leaving) {
      co_await announce_to_any_entry();
      co_await pause(announce_interval);
    }
  }

  /// Announces to the next entry instance that can be reached, as through a load balancer.
  asio::awaitable<void> announce_to_any_entry() {
    bool is_delivered = false;
    for (std::size_t tried = 0; !is_delivered && tried < m_options.entry_ports.size(); ++tried) {
      is_delivered =
          co_await announce(m_options.entry_ports[m_sequence % m_options.entry_ports.size()]);
    }
  }

  asio::awaitable<void> deregister() {
    for (int const port : m_options.entry_ports) {
      co_await announce(port);
    }
    while (m_in_flight > 0) {
      co_await pause(std::chrono::milliseconds(20));
    }
    m_context.stop();
  }

  asio::awaitable<bool> announce(int port) {
    auto versions = json::array();
    for (auto const& name : m_options.versions) {
      auto const slash = name.find('/');
      versions.push_back({{"model", name.substr(0, slash)}, {"version", name.substr(slash + 1)}});
    }
    json body = {{"endpoint", m_options.id},
                 {"incarnation", m_incarnation},
                 {"sequence", ++m_sequence},
                 {"zone", m_options.zone},
                 {"ip", "127.0.0.1"},
                 {"port", m_options.port},
                 {"versions", versions},
                 {"slots", 8},
                 {"load", {{"running", m_in_flight}, {"waiting", 0}, {"cache_permille", 0}}},
                 {"leaving", m_is_leaving},
                 {"sent_at_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                                    std::chrono::steady_clock::now().time_since_epoch())
                                    .count()}};
    if (!m_options.service.empty()) {
      body["service"] = m_options.service;
    }
    if (m_options.is_rating_service) {
      body["kind"] = "rating";
    }
    beast::tcp_stream stream(m_context);
    stream.expires_after(std::chrono::seconds(1));
    auto const [connect_error] = co_await stream.async_connect(
        tcp::endpoint{asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)},
        completion);
    if (connect_error) {
      co_return false;
    }
    request message{http::verb::post, "/endpoints/announce", 11};
    message.set(http::field::host, "127.0.0.1");
    message.keep_alive(false);
    message.body() = body.dump();
    message.prepare_payload();
    co_await http::async_write(stream, message, completion);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    auto const [read_error, size] = co_await http::async_read(stream, buffer, response, completion);
    co_return !read_error;
  }

  asio::io_context& m_context;
  options m_options;
  tcp::acceptor m_acceptor;
  std::uint64_t m_incarnation;
  std::uint64_t m_sequence = 0;
  int m_in_flight = 0;
  bool m_is_leaving = false;
  std::map<std::string, int> m_execution_counts;
  std::map<std::string, int> m_rating_counts;
};

std::vector<std::string> split(std::string const& text) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start < text.size()) {
    auto const end = std::min(text.find(',', start), text.size());
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

int run(int argc, char const** argv) {
  char* id = nullptr;
  char* zone = nullptr;
  char* entries = nullptr;
  char* versions = nullptr;
  char* service = nullptr;
  char* failing_versions = nullptr;
  int token_ms = 0;
  int first_byte_ms = 0;
  int skips_deregistration = 0;
  int is_rating_service = 0;
  char* poor = nullptr;
  options chosen;
  std::array<poptOption, 15> const table{{
      {"id", 0, POPT_ARG_STRING, static_cast<void*>(&id), 0, "Endpoint id", "ID"},
      {"zone", 0, POPT_ARG_STRING, static_cast<void*>(&zone), 0, "Availability zone", "ZONE"},
      {"port", 0, POPT_ARG_INT, static_cast<void*>(&chosen.port), 0, "Port to serve on", "PORT"},
      {"entries", 0, POPT_ARG_STRING, static_cast<void*>(&entries), 0, "Entry ports", "PORT,..."},
      {"versions", 0, POPT_ARG_STRING, static_cast<void*>(&versions), 0, "Loaded versions",
       "MODEL/VERSION,..."},
      {"failing-versions", 0, POPT_ARG_STRING, static_cast<void*>(&failing_versions), 0,
       "Versions that answer with errors", "VERSION,..."},
      {"service", 0, POPT_ARG_STRING, static_cast<void*>(&service), 0, "Service", "NAME"},
      {"rating", 0, POPT_ARG_NONE, static_cast<void*>(&is_rating_service), 0,
       "Act as a rating service", nullptr},
      {"poor", 0, POPT_ARG_STRING, static_cast<void*>(&poor), 0,
       "Rate every n-th answer of a version as poor", "VERSION=EVERY,..."},
      {"tokens", 0, POPT_ARG_INT, static_cast<void*>(&chosen.tokens), 0, "Tokens per answer", "N"},
      {"token-ms", 0, POPT_ARG_INT, static_cast<void*>(&token_ms), 0, "Time per token", "MS"},
      {"first-byte-ms", 0, POPT_ARG_INT, static_cast<void*>(&first_byte_ms), 0,
       "Time before the first byte", "MS"},
      {"lose-goodbye", 0, POPT_ARG_NONE, static_cast<void*>(&skips_deregistration), 0,
       "Stop announcing without deregistering", nullptr},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  poptContext context = poptGetContext("endpoint_stand_in", argc, argv, table.data(), 0);
  int const result = poptGetNextOpt(context);
  poptFreeContext(context);
  if (result != -1 || id == nullptr || zone == nullptr || entries == nullptr) {
    std::fputs("--id, --zone, --port and --entries are required\n", stderr);
    return EXIT_FAILURE;
  }
  chosen.id = id;
  chosen.zone = zone;
  for (auto const& port : split(entries)) {
    chosen.entry_ports.push_back(std::stoi(port));
  }
  chosen.versions = split(versions == nullptr ? "" : versions);
  chosen.failing_versions = split(failing_versions == nullptr ? "" : failing_versions);
  chosen.service = service == nullptr ? "" : service;
  chosen.is_rating_service = is_rating_service != 0;
  for (auto const& item : split(poor == nullptr ? "" : poor)) {
    auto const equals = item.find('=');
    chosen.poor_answer_intervals[item.substr(0, equals)] = std::stoi(item.substr(equals + 1));
  }
  chosen.token_delay = std::chrono::milliseconds(token_ms);
  chosen.first_byte_delay = std::chrono::milliseconds(first_byte_ms);
  chosen.skips_deregistration = skips_deregistration != 0;
  asio::io_context io(1);
  endpoint stand_in(io, std::move(chosen));
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code error, int /*signal*/) {
    if (!error) {
      stand_in.leave();
    }
  });
  io.run();
  return EXIT_SUCCESS;
}

} // namespace

} // namespace catkinlanding::stand_ins

int main(int argc, char const** argv) {
  return catkinlanding::stand_ins::run(argc, argv);
}
