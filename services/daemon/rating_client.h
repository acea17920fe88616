#pragma once

#include <libraries/routing/rating_message.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace catkinlanding::daemon {

/// Asks rating services over HTTP whether answers are good, and reports their judgements. Any error
/// is reported as an unknown judgement.
class rating_client {
public:
  using handler = std::function<void(routing::rating_result result)>;

  struct options {
    base::duration connect_timeout = std::chrono::seconds(1);
    /// Limits the time from the last byte of the request to the response header, and then between
    /// two reads of the response body.
    base::duration judgement_timeout = std::chrono::seconds(10);
    /// Maximum size in bytes of a response.
    std::size_t max_judgement_size = 64 * 1024;
  };

  rating_client(boost::asio::io_context& context, options options, handler on_result);
  ~rating_client();
  rating_client(rating_client const&) = delete;
  rating_client& operator=(rating_client const&) = delete;

  void start(routing::rating_request const& request);

private:
  class implementation;
  std::unique_ptr<implementation> m_implementation;
};

} // namespace catkinlanding::daemon
