#pragma once

#include <services/daemon/coroutine.h>
#include <services/proxy/http.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace catkinlanding::proxy {

/// An HTTP server for short requests: calls from operators and endpoints, readiness checks and
/// metrics.
class http_server {
public:
  /// Returns the response; may suspend.
  using handler = std::function<daemon::awaitable<http_response>(http_request)>;

  struct options {
    /// Further connections are closed at once.
    std::size_t max_connections = 512;
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint32_t max_body_bytes = 8 * 1024 * 1024;
    std::chrono::milliseconds idle_timeout = std::chrono::seconds(30);
  };

  http_server(boost::asio::io_context& context, boost::asio::ip::tcp::acceptor acceptor,
              options options, handler handle_request);

  void stop_accepting();
  [[nodiscard]] std::size_t connection_count() const { return m_connections; }
  /// Connections that were closed because there were too many.
  [[nodiscard]] std::uint64_t refused_connections() const { return m_refused; }

private:
  daemon::awaitable<void> accept();
  void note_refused();
  daemon::awaitable<void> serve(std::shared_ptr<daemon::tcp_stream> stream);

  boost::asio::io_context& m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  options m_options;
  handler m_handler;
  std::size_t m_connections = 0;
  std::uint64_t m_refused = 0;
  std::chrono::steady_clock::time_point m_next_warning{};
};

} // namespace catkinlanding::proxy
