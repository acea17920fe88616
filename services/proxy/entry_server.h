#pragma once

#include <services/daemon/waiting_connections.h>
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
    std::size_t max_connections = 3000;
    /// Memory for the request bodies of all connections, read or being read. A request whose body
    /// doesn't fit is rejected, before the body is read if its length is known.
    std::size_t max_body_memory = 32UL * 1024 * 1024;
    /// Memory for the headers and the framing of bodies that are being read, beyond a few KiB that
    /// each connection may have. A request that needs more is rejected.
    std::size_t max_buffer_memory = 16UL * 1024 * 1024;
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
  /// Connections that gave way to new ones while they waited for a request or the rest of one.
  [[nodiscard]] std::uint64_t closed_waiting() const { return m_waiting.closed(); }
  [[nodiscard]] std::size_t buffer_bytes() const { return m_buffer_memory.used_bytes(); }

private:
  struct connection {
    connection(daemon::tcp_socket socket, base::memory_budget const& memory)
        : stream(std::move(socket)), buffer(memory) {}

    daemon::tcp_stream stream;
    daemon::request_buffer buffer;
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
  daemon::awaitable<void> accept();
  void start(daemon::tcp_socket socket);
  daemon::awaitable<void> serve(std::shared_ptr<connection> connection);
  daemon::awaitable<void> serve_requests(connection& connection);
  /// Reads one request, and takes memory for its body. Returns nothing if the connection ended or
  /// the request was rejected.
  daemon::awaitable<std::optional<incoming_request>> read_request(connection& connection,
                                                                  base::memory_share& body_memory);
  /// Reads the body of a request after its header. Returns false like `read_request`.
  daemon::awaitable<bool> read_body(connection& connection, request_parser& parser,
                                    base::memory_share& body_memory);
  /// Until when the rest of the connection's half-read request may come.
  [[nodiscard]] base::monotonic_time latest_arrival(connection const& connection) const;
  /// Refuses the connection's half-read request, and discards the rest of it.
  daemon::awaitable<void> refuse_unread(connection& connection);
  daemon::awaitable<void> reject(connection& connection, http::status status, char const* reason);

  entry_context& m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  options m_options;
  std::set<std::shared_ptr<connection>> m_connections;
  /// When the next line about a rejected request may be logged, by reason.
  std::map<std::string_view, base::monotonic_time> m_next_lines;
  std::size_t m_active_exchanges = 0;
  base::memory_budget m_body_memory;
  base::memory_budget m_buffer_memory;
  daemon::waiting_connections m_waiting{"entry"};
};

} // namespace catkinlanding::proxy
