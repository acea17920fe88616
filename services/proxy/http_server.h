#pragma once

#include <libraries/resources/plan.h>
#include <services/daemon/connections/open_connections.h>
#include <services/daemon/connections/turn_limiter.h>
#include <services/daemon/coroutine.h>
#include <services/proxy/http.h>
#include <services/proxy/request_body.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace catkinlanding::proxy {

/// The answer to a call.
struct served_answer {
  http_response message;
  /// Sent in place of the message's own body, if there is one. All answers share it, so that many
  /// callers who don't read take up no memory for it.
  std::shared_ptr<std::string const> shared_body;
};

/// An HTTP server for short requests: calls from operators and endpoints, readiness checks and
/// metrics.
class http_server {
public:
  /// Returns the response; may suspend.
  using handler = std::function<daemon::awaitable<served_answer>(http_request)>;

  struct options {
    /// How many connections there may be, and what their requests and answers may take up together.
    /// A connection that makes no progress gives way to others.
    resources::call_plan bounds;
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint32_t max_body_bytes = 8 * 1024 * 1024;
    std::chrono::milliseconds idle_timeout = std::chrono::seconds(30);
    /// From the first byte of a request to the last of its header, and for its body.
    std::chrono::milliseconds read_timeout = std::chrono::seconds(10);
    /// Limits the time in which an answer is read.
    std::chrono::milliseconds write_timeout = std::chrono::seconds(10);
  };

  http_server(boost::asio::io_context& context, boost::asio::ip::tcp::acceptor acceptor,
              options options, handler handle_request);

  void stop_accepting();
  [[nodiscard]] std::size_t connection_count() const { return m_connections; }
  /// Connections that were closed because there were too many.
  [[nodiscard]] std::uint64_t refused_connections() const { return m_refused; }
  /// Connections that gave way to others.
  [[nodiscard]] std::uint64_t closed_for_others() const { return m_open->closed(); }

private:
  struct connection {
    connection(daemon::tcp_socket socket,
               std::shared_ptr<daemon::connections::open_connections> all)
        : stream(std::move(socket)), entry(std::move(all), stream), buffer(entry) {}

    daemon::tcp_stream stream;
    daemon::connections::open_connections::entry entry;
    daemon::request_buffer buffer;
  };

  void start(daemon::tcp_socket socket);
  void note_refused();
  /// Counts a request that broke a rule of framing or memory.
  void note_rejected(char const* reason);
  daemon::awaitable<void> serve(std::shared_ptr<connection> connection);
  /// Reads one request and answers it. Returns whether the connection stays open.
  daemon::awaitable<bool> serve_request(connection& connection);
  /// Reads one request. Returns the status of the refusal, or none if the connection ended.
  daemon::awaitable<tl::expected<http_request, std::optional<http::status>>>
  read_request(connection& connection);
  /// Writes the answer, for which memory is taken until its caller has read it. Returns whether the
  /// connection stays open.
  daemon::awaitable<bool> write(connection& connection, served_answer answer, bool keep_alive);

  boost::asio::io_context& m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  options m_options;
  handler m_handler;
  std::shared_ptr<daemon::connections::open_connections> m_open;
  daemon::connections::turn_limiter m_turns;
  std::size_t m_connections = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_rejected = 0;
  std::chrono::steady_clock::time_point m_next_warning{};
};

} // namespace catkinlanding::proxy
