#pragma once

#include <libraries/base/address.h>
#include <libraries/base/identifier.h>
#include <libraries/base/time.h>
#include <services/daemon/coroutine.h>

#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <utility>

namespace catkinlanding::proxy {

/// One connection to an endpoint.
struct upstream_connection {
  explicit upstream_connection(boost::asio::io_context& context) : stream(context) {}

  daemon::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  base::endpoint_id endpoint;
  base::address address;
  /// Whether an earlier request was answered on it.
  bool is_reused = false;
};

/// Connections to endpoints that wait for the next request. One on which anything arrived
/// meanwhile, or which has been idle for too long, is not used again.
class upstream_pool {
public:
  struct options {
    /// An idle connection is closed after so long, or earlier where its endpoint says so.
    base::duration idle_timeout = std::chrono::seconds(4);
    /// How much earlier than its endpoint an idle connection is given up.
    base::duration idle_margin = std::chrono::milliseconds(800);
    std::size_t max_idle_per_endpoint = 16;
  };

  explicit upstream_pool(options options) : m_options(options) {}

  /// A usable connection to the endpoint; nullptr where there is none.
  [[nodiscard]] std::unique_ptr<upstream_connection> acquire(base::endpoint_id const& endpoint,
                                                             base::address const& address,
                                                             base::monotonic_time now);
  /// Keeps a connection whose last answer was whole. `endpoint_timeout` is zero where the endpoint
  /// did not say when it closes idle connections.
  void release(std::unique_ptr<upstream_connection> connection, base::duration endpoint_timeout,
               base::monotonic_time now);
  /// Closes what has been idle for too long.
  void sweep(base::monotonic_time now);

private:
  struct idle_connection {
    std::unique_ptr<upstream_connection> connection;
    base::monotonic_time expires_at{};
  };

  options m_options;
  std::map<std::pair<base::endpoint_id, base::address>, std::deque<idle_connection>> m_idle;
};

} // namespace catkinlanding::proxy
