#pragma once

#include <libraries/requests/effect.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace catkinlanding::daemon {

/// Sends requests to endpoints over HTTP and reports their responses as events.
class endpoint_client {
public:
  using handler = std::function<void(requests::event event)>;

  struct options {
    /// Connections in use and at rest. One that rests gives way to a new one.
    std::size_t max_connections = 1024;
    /// Memory for whole answers that are arriving. One that finds none counts as broken.
    std::size_t arriving_bytes = 16UL * 1024 * 1024;
    /// What the kernel may receive for all of them, beyond a few KiB for each.
    std::size_t socket_bytes = 8UL * 1024 * 1024;
    base::duration connect_timeout = std::chrono::seconds(1);
    base::duration write_timeout = std::chrono::seconds(10);
    /// Limits the time from the last byte of the request to the response header. The request's
    /// deadline is usually shorter; this ends connections that were not cancelled by it.
    base::duration head_timeout = std::chrono::minutes(15);
    /// Limits the time between two reads of an answer that isn't streamed. A stream is limited by
    /// its request's deadline, at which it is cancelled.
    base::duration silence_timeout = std::chrono::seconds(60);
    /// Maximum body size in bytes of an answer that isn't streamed.
    std::size_t max_buffered_answer_size = 16 * 1024 * 1024;
  };

  endpoint_client(boost::asio::io_context& context, options options, handler on_event);
  ~endpoint_client();
  endpoint_client(endpoint_client const&) = delete;
  endpoint_client& operator=(endpoint_client const&) = delete;

  void start(requests::dispatch dispatch);
  /// Closes the connection, which tells the endpoint to stop working on the request.
  void cancel(requests::attempt_number attempt);

private:
  class implementation;
  std::shared_ptr<implementation> m_implementation;
};

} // namespace catkinlanding::daemon
