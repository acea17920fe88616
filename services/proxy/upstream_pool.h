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

/// A connection to an endpoint.
struct upstream_connection {
  explicit upstream_connection(boost::asio::io_context& context) : stream(context) {}

  /// Connects to the address. Returns false if that fails or takes longer than the timeout.
  daemon::awaitable<bool> open(base::duration timeout);

  daemon::tcp_stream stream;
  /// Bytes that were received and not yet parsed.
  boost::beast::flat_buffer buffer;
  base::endpoint_id endpoint;
  base::address address;
  /// Whether it has served an earlier request.
  bool is_reused = false;
};

/// A pool of idle connections to endpoints. A connection is not reused if data or a close arrived
/// while it was idle, or if it was idle for too long.
class upstream_pool {
public:
  struct options {
    /// Maximum idle time, unless the endpoint announces a shorter one.
    base::duration idle_timeout = std::chrono::seconds(4);
    /// Connections are dropped this long before the endpoint would close them.
    base::duration idle_margin = std::chrono::milliseconds(800);
    std::size_t max_idle_per_endpoint = 16;
  };

  explicit upstream_pool(options options) : m_options(options) {}

  /// Returns a usable connection to the endpoint, or nullptr if there is none.
  [[nodiscard]] std::unique_ptr<upstream_connection> acquire(base::endpoint_id const& endpoint,
                                                             base::address const& address,
                                                             base::monotonic_time now);
  /// Returns a connection to the pool after a complete answer. `endpoint_timeout` is the idle
  /// timeout that the endpoint announced; zero if it announced none.
  void release(std::unique_ptr<upstream_connection> connection, base::duration endpoint_timeout,
               base::monotonic_time now);
  /// Closes connections that have been idle for too long.
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
