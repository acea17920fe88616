#pragma once

#include <libraries/instance/event.h>
#include <libraries/requests/effect.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace catkinlanding::daemon {

/// HTTP server for callers and for the announcements of endpoints. Also serves the metrics page and
/// the health check.
class caller_server {
public:
  struct handlers {
    std::function<void(requests::event event)> on_request_event;
    std::function<void(endpoints::announcement announcement)> on_announcement;
    /// Returns the text of the metrics page.
    std::function<std::string()> metrics;
    /// Returns whether the platform's load balancer should send requests to this instance.
    std::function<bool()> is_ready;
  };

  struct options {
    /// Beyond these, a connection that makes no progress gives way to a new one.
    std::size_t max_connections = 4096;
    std::size_t max_body_size = 8 * 1024 * 1024;
    /// Memory for the requests of all connections, read or being read, beyond a few KiB for each. A
    /// request that finds none is answered with 503.
    std::size_t request_bytes = 32UL * 1024 * 1024;
    /// Memory for the answers that wait until their callers read them, likewise. One that finds
    /// none is cut.
    std::size_t answer_bytes = 32UL * 1024 * 1024;
    /// What the kernel may receive for all connections, likewise.
    std::size_t socket_bytes = 8UL * 1024 * 1024;
    std::uint32_t max_header_size = 16 * 1024;
    /// Bytes of a streamed answer that may be queued for a slow caller. A stream that exceeds this
    /// is aborted.
    std::size_t max_queued_bytes = 1024 * 1024;
    /// Limits the idle time between two requests, and the time from a request's first byte to its
    /// last. The body of a caller that states a deadline may not come later than that either.
    base::duration read_timeout = std::chrono::seconds(15);
    /// Limits each write of a part of an answer.
    base::duration write_timeout = std::chrono::seconds(30);
  };

  caller_server(boost::asio::io_context& context, boost::asio::ip::tcp::acceptor acceptor,
                options options, handlers handlers);
  ~caller_server();
  caller_server(caller_server const&) = delete;
  caller_server& operator=(caller_server const&) = delete;

  void reply(requests::reply_head const& head);
  void reply(requests::reply_data const& data);
  void reply(requests::reply_end const& end);
  void reply(requests::reply_failure const& failure);

  /// Accepts no new connections, and closes each existing one after its pending answer.
  void stop_accepting();
  /// Whether no request is being received or answered.
  [[nodiscard]] bool is_idle() const;

private:
  class implementation;
  std::shared_ptr<implementation> m_implementation;
};

} // namespace catkinlanding::daemon
