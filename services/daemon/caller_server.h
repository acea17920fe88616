#pragma once

#include <libraries/instance/event.h>
#include <libraries/requests/effect.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace catkinlanding::daemon {

/// Speaks HTTP with callers and with endpoints that announce themselves.
class caller_server {
public:
  struct handlers {
    std::function<void(requests::event event)> on_request_event;
    std::function<void(endpoints::announcement announcement)> on_announcement;
    /// The text of the metrics page.
    std::function<std::string()> metrics;
    /// Whether the platform's balancer should send requests here.
    std::function<bool()> is_ready;
  };

  struct options {
    std::size_t max_connections = 4096;
    std::size_t max_body_size = 8 * 1024 * 1024;
    std::uint32_t max_header_size = 16 * 1024;
    /// Bytes of a stream that wait for a slow caller; beyond them the stream is broken off.
    std::size_t max_queued_bytes = 1024 * 1024;
    /// Between two requests, and from a request's first byte to its last.
    base::duration read_timeout = std::chrono::seconds(15);
    /// For each piece of an answer.
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

  /// Connections are closed after the answer they wait for, and no new ones are accepted.
  void stop_accepting();
  /// Whether no caller waits for an answer or is sending a request.
  [[nodiscard]] bool is_idle() const;

private:
  class implementation;
  std::shared_ptr<implementation> m_implementation;
};

} // namespace catkinlanding::daemon
