#pragma once

#include <services/daemon/coroutine.h>
#include <services/proxy/http.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace catkinlanding::proxy {

/// Answers short HTTP requests: operators' and endpoints' calls, readiness, metrics.
class call_server {
public:
  /// Gives back the answer. It may wait.
  using handler = std::function<daemon::awaitable<http_response>(http_request)>;

  struct options {
    std::size_t most_connections = 512;
    std::uint32_t largest_header_bytes = 16 * 1024;
    std::uint32_t largest_body_bytes = 8 * 1024 * 1024;
    std::chrono::milliseconds idle_timeout = std::chrono::seconds(30);
  };

  call_server(boost::asio::io_context& context, boost::asio::ip::tcp::acceptor acceptor,
              options options, handler on_request);

  void stop_accepting();

private:
  daemon::awaitable<void> accept();
  daemon::awaitable<void> serve(std::shared_ptr<daemon::tcp_stream> stream);

  boost::asio::io_context& m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  options m_options;
  handler m_on_request;
  std::size_t m_connections = 0;
};

} // namespace catkinlanding::proxy
