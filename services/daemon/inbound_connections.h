#pragma once

#include <libraries/base/memory_budget.h>
#include <services/daemon/coroutine.h>

#include <boost/asio/ip/address.hpp>

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>

namespace catkinlanding::daemon {

/// Sets the socket options of connections that other instances open to this one: probes those that
/// rest, so that one whose peer is gone is closed.
void set_accepted_socket_options(tcp_socket& socket);

/// The connections that other instances have opened to this one. Their number is limited. When
/// there are too many, one gives way to a new one: the one that has rested longest, or else one of
/// an address that has more of them than the new one's.
class inbound_connections {
public:
  struct options {
    std::size_t max_connections = 1024;
    /// Memory for the frames that are being received over all connections.
    std::size_t frame_bytes = 256UL * 1024 * 1024;
  };

  struct connection {
    connection(tcp_socket socket, base::memory_budget const& budget)
        : stream(std::move(socket)), memory(budget) {}

    tcp_stream stream;
    boost::asio::ip::address peer;
    /// Whether a frame is being read from it.
    bool is_reading = false;
    /// What has been read of it.
    base::memory_share memory;
    /// Whether it has neither ended nor given way to another.
    bool is_listed = false;
    std::list<std::shared_ptr<connection>>::iterator place;
  };

  explicit inbound_connections(options options);

  /// Takes a connection. Returns null if it is closed instead.
  [[nodiscard]] std::shared_ptr<connection> add(tcp_socket socket);
  /// Forgets a connection that has ended.
  void remove(connection& connection);

  static void note_frame_begun(connection& connection) { connection.is_reading = true; }
  void note_frame_ended(connection& connection);

  /// Takes memory for so many bytes of the connection's frame. If there is none, one of the address
  /// that holds most is closed, unless it is the connection itself. Returns false in that case.
  [[nodiscard]] bool try_hold(connection& connection, std::size_t bytes);

  [[nodiscard]] std::size_t size() const { return m_connections.size(); }
  /// Connections that were closed for want of room.
  [[nodiscard]] std::uint64_t closed() const { return m_closed; }

private:
  /// Closes a connection in favour of one from this address. Returns whether there was one that may
  /// be closed.
  [[nodiscard]] bool make_room(boost::asio::ip::address const& peer);
  [[nodiscard]] std::shared_ptr<connection> longest_resting(std::size_t least_of_address) const;
  [[nodiscard]] std::shared_ptr<connection> longest_read(std::size_t least_of_address) const;
  /// Closes another connection for the memory of its frame. Returns whether there was one.
  [[nodiscard]] bool free_memory(connection const& requester);
  void close(connection& closed, char const* reason);
  [[nodiscard]] std::size_t number_of(boost::asio::ip::address const& peer) const;
  void log_closed(boost::asio::ip::address const& peer, char const* reason);

  options m_options;
  base::memory_budget m_frame_memory;

  /// Those whose latest frame, or beginning, lies back furthest come first.
  std::list<std::shared_ptr<connection>> m_connections;
  std::map<boost::asio::ip::address, std::size_t> m_numbers;
  std::uint64_t m_closed = 0;
  std::chrono::steady_clock::time_point m_next_line{};
};

} // namespace catkinlanding::daemon
