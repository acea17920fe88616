#pragma once

#include <services/daemon/connections/open_connections.h>
#include <services/daemon/connections/places.h>
#include <services/daemon/connections/socket_buffers.h>
#include <services/daemon/connections/turn_limiter.h>
#include <services/proxy/exchange.h>
#include <services/proxy/request_body.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace catkinlanding::proxy {

/// Accepts callers' connections and runs their requests one at a time per connection.
class entry_server {
public:
  struct options {
    /// Beyond these, a connection that makes no progress gives way to a new one. If there is none,
    /// the new one waits a moment for a place, and is refused then. If many wait, it is closed.
    std::size_t max_connections = 0;
    /// Memory for the requests of all connections that are being read or served, beyond a few KiB
    /// for each. A request that finds none is rejected.
    std::size_t request_bytes = 0;
    /// What the kernel may receive for all connections, beyond a few KiB for each.
    std::size_t socket_bytes = 0;
  };

  entry_server(entry_context& context, boost::asio::ip::tcp::acceptor acceptor, options options);

  /// Closes the listening socket after the connections that wait for it have been accepted.
  /// Accepted connections stay open.
  void stop_accepting();
  /// Closes connections that wait for a request of which no byte has arrived.
  void close_idle();
  /// Refuses the requests of which a part has arrived and that could not be served any more if the
  /// rest came now.
  void refuse_half_read();
  /// Whether no request is in flight.
  [[nodiscard]] bool is_idle() const { return m_active_exchanges == 0; }
  /// The requests in flight and those of which a part has arrived.
  [[nodiscard]] std::vector<open_request> open_requests() const;
  [[nodiscard]] std::size_t connection_count() const { return m_connections.size(); }
  /// Connections that were closed in favour of others, as they made no progress.
  [[nodiscard]] std::uint64_t closed_for_others() const { return m_open->closed(); }
  /// Memory of the requests that are being read or served.
  [[nodiscard]] std::size_t request_bytes() const { return m_open->request_bytes(); }
  /// What the kernel may receive for the connections.
  [[nodiscard]] std::size_t socket_bytes() const { return m_sockets.used_bytes(); }

private:
  struct connection {
    connection(daemon::tcp_socket socket,
               std::shared_ptr<daemon::connections::open_connections> all,
               std::shared_ptr<daemon::connections::places> all_places, bool has_place,
               base::memory_share socket_share)
        : stream(std::move(socket)), entry(std::move(all), stream),
          place(std::move(all_places), entry, has_place), buffer(entry),
          socket_memory(std::move(socket_share)) {}

    daemon::tcp_stream stream;
    daemon::connections::open_connections::entry entry;
    daemon::connections::places::holder place;
    daemon::request_buffer buffer;
    base::memory_share socket_memory;
    bool has_been_served = false;
    bool is_awaiting_request = false;
    /// The request whose body is being read, and when its header was complete.
    request_parser const* parser = nullptr;
    base::monotonic_time header_at{};
    std::weak_ptr<exchange> current_exchange;
    /// Whether its half-read request is refused.
    bool is_refused = false;

    /// Whether a request may be on its way of which no byte has arrived.
    [[nodiscard]] bool is_empty() const;
  };

  /// The connection's request; nothing if no byte of one has arrived.
  [[nodiscard]] std::optional<open_request> open_request_of(connection const& connection) const;
  void start(daemon::tcp_socket socket);
  daemon::awaitable<void> serve(std::shared_ptr<connection> connection);
  daemon::awaitable<void> serve_requests(connection& connection);
  /// Reads one request, and takes memory for it. Returns nothing if the connection ended or the
  /// request was rejected.
  daemon::awaitable<std::optional<incoming_request>> read_request(connection& connection);
  /// Reads the header of a request. Returns false like `read_request`, as do those below.
  daemon::awaitable<bool> read_header(connection& connection, request_parser& parser);
  /// Reads the body of a request after its header, unless the header is enough to refuse it.
  daemon::awaitable<bool> read_rest(connection& connection, request_parser& parser);
  daemon::awaitable<bool> read_body(connection& connection, request_parser& parser);
  /// Until when the rest of the connection's half-read request may come.
  [[nodiscard]] base::monotonic_time latest_arrival(connection const& connection) const;
  /// Refuses the connection's half-read request as the instance stops, and discards the rest of it.
  daemon::awaitable<void> refuse_unread(connection& connection);
  /// Answers the connection's half-read request with this refusal.
  daemon::awaitable<void> write_refusal(connection& connection, refusal const& refusal);
  daemon::awaitable<void> reject(connection& connection, http::status status, char const* reason);
  /// Refuses the first request of a connection beyond the limit.
  daemon::awaitable<void> reject_connection(connection& connection);
  /// Limits the rate of log lines for each reason.
  [[nodiscard]] bool may_log(char const* reason);

  entry_context& m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  options m_options;
  std::set<std::shared_ptr<connection>> m_connections;
  /// When the next line about a rejected request may be logged, by reason.
  std::map<std::string_view, base::monotonic_time> m_next_lines;
  std::size_t m_active_exchanges = 0;
  std::shared_ptr<daemon::connections::open_connections> m_open;
  std::shared_ptr<daemon::connections::places> m_places;
  daemon::connections::socket_buffers m_sockets;
  daemon::connections::turn_limiter m_turns;
};

} // namespace catkinlanding::proxy
