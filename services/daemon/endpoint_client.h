#pragma once

#include <libraries/requests/effect.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace catkinlanding::daemon {

/// Sends requests to endpoints over HTTP and reports what comes back.
class endpoint_client {
public:
  using handler = std::function<void(requests::event event)>;

  struct options {
    base::duration connect_timeout = std::chrono::seconds(1);
    base::duration write_timeout = std::chrono::seconds(10);
    /// From the last byte of the request to the first of the answer. The deadline of the request
    /// is shorter as a rule; this ends what outlived it.
    base::duration head_timeout = std::chrono::minutes(15);
    /// Between two pieces of an answer.
    base::duration silence_timeout = std::chrono::seconds(60);
    /// Bytes of an answer that is not streamed.
    std::size_t max_buffered_answer_size = 16 * 1024 * 1024;
  };

  endpoint_client(boost::asio::io_context& context, options options, handler on_event);
  ~endpoint_client();
  endpoint_client(endpoint_client const&) = delete;
  endpoint_client& operator=(endpoint_client const&) = delete;

  void start(requests::dispatch dispatch);
  /// Breaks the connection off, by which the endpoint knows that nobody waits any more.
  void cancel(requests::attempt_number attempt);

private:
  class implementation;
  std::shared_ptr<implementation> m_implementation;
};

} // namespace catkinlanding::daemon
