#pragma once

#include <services/daemon/coroutine.h>
#include <services/daemon/waiting_connections.h>
#include <services/proxy/http.h>
#include <services/proxy/request_body.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace catkinlanding::proxy {

/// An HTTP server for short requests: calls from operators and endpoints, readiness checks and
/// metrics.
class http_server {
public:
  /// Returns the response; may suspend.
  using handler = std::function<daemon::awaitable<http_response>(http_request)>;

  struct options {
    /// Beyond these, the connection that has waited longest gives way to a new one. If none waits,
    /// the new one is closed.
    std::size_t max_connections = 512;
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint32_t max_body_bytes = 8 * 1024 * 1024;
    /// Memory for the bodies of all connections. A request whose body doesn't fit is answered with
    /// 503.
    std::size_t max_body_memory = 32UL * 1024 * 1024;
    /// Memory for headers and the framing of bodies, beyond a few KiB for each connection. A
    /// request that needs more is answered with 503.
    std::size_t max_buffer_memory = 2UL * 1024 * 1024;
    std::chrono::milliseconds idle_timeout = std::chrono::seconds(30);
  };

  http_server(boost::asio::io_context& context, boost::asio::ip::tcp::acceptor acceptor,
              options options, handler handle_request);

  void stop_accepting();
  [[nodiscard]] std::size_t connection_count() const { return m_connections; }
  /// Connections that were closed because there were too many.
  [[nodiscard]] std::uint64_t refused_connections() const { return m_refused; }
  /// Connections that gave way to new ones.
  [[nodiscard]] std::uint64_t closed_waiting() const { return m_waiting.closed(); }

private:
  daemon::awaitable<void> accept();
  void note_refused();
  /// Counts a request that broke a rule of framing or memory.
  void note_rejected(char const* reason);
  daemon::awaitable<void> serve(std::shared_ptr<daemon::tcp_stream> stream);
  /// Reads one request and answers it. Returns whether the connection stays open.
  daemon::awaitable<bool> serve_request(daemon::tcp_stream& stream, daemon::request_buffer& buffer);
  /// Reads one request. Returns the status of the refusal, or none if the connection ended.
  daemon::awaitable<tl::expected<http_request, std::optional<http::status>>>
  read_request(daemon::tcp_stream& stream, daemon::request_buffer& buffer,
               base::memory_share& memory);
  /// Returns whether the connection stays open.
  static daemon::awaitable<bool> write(daemon::tcp_stream& stream, http_response const& answer,
                                       bool keep_alive);

  boost::asio::io_context& m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  options m_options;
  handler m_handler;
  base::memory_budget m_body_memory;
  base::memory_budget m_buffer_memory;
  daemon::waiting_connections m_waiting{"calls"};
  std::size_t m_connections = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_rejected = 0;
  std::chrono::steady_clock::time_point m_next_warning{};
};

} // namespace catkinlanding::proxy
