#pragma once

#include <libraries/base/address.h>
#include <libraries/base/identifier.h>
#include <libraries/base/time.h>
#include <services/daemon/connections/socket_buffers.h>
#include <services/daemon/coroutine.h>

#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace catkinlanding::proxy {

/// What the connections to endpoints take up together.
struct upstream_totals {
  std::size_t connections = 0;
  daemon::connections::socket_buffers sockets;
};

/// A connection to an endpoint, or to another entry instance.
struct upstream_connection {
  upstream_connection(boost::asio::io_context& context, std::shared_ptr<upstream_totals> all);
  ~upstream_connection();
  upstream_connection(upstream_connection const&) = delete;
  upstream_connection& operator=(upstream_connection const&) = delete;

  /// Connects to the address. Returns false if that fails or takes longer than the timeout.
  daemon::awaitable<bool> open(base::duration timeout);

  std::shared_ptr<upstream_totals> totals;
  daemon::tcp_stream stream;
  /// What the kernel may receive for it.
  std::optional<base::memory_share> socket_memory;
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
    /// Connections in use and at rest. One that rests gives way to a new one.
    std::size_t max_connections = 1024;
    /// What the kernel may receive for all of them, beyond a few KiB for each.
    std::size_t socket_bytes = 8UL * 1024 * 1024;
  };

  explicit upstream_pool(options options);

  /// A connection that is not open yet.
  [[nodiscard]] std::unique_ptr<upstream_connection> create(boost::asio::io_context& context);
  /// Whether so many connections are in use that those left are needed for requests that have none.
  [[nodiscard]] bool is_crowded() const;
  [[nodiscard]] std::size_t connection_count() const { return m_totals->connections; }

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

  /// Closes the connection that has rested longest, if there is one.
  void drop_oldest();

  options m_options;
  std::shared_ptr<upstream_totals> m_totals;
  std::size_t m_resting = 0;
  std::map<std::pair<base::endpoint_id, base::address>, std::deque<idle_connection>> m_idle;
};

} // namespace catkinlanding::proxy
