#pragma once

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
  struct connection {
    explicit connection(tcp_socket socket) : stream(std::move(socket)) {}

    tcp_stream stream;
    boost::asio::ip::address peer;
    /// Whether a frame is being read from it.
    bool is_reading = false;
    /// Whether it has neither ended nor given way to another.
    bool is_listed = false;
    std::list<std::shared_ptr<connection>>::iterator place;
  };

  /// Takes a connection. Returns null if it is closed instead.
  [[nodiscard]] std::shared_ptr<connection> add(tcp_socket socket);
  /// Forgets a connection that has ended.
  void remove(connection& connection);

  static void note_frame_begun(connection& connection) { connection.is_reading = true; }
  void note_frame_ended(connection& connection);

  [[nodiscard]] std::size_t size() const { return m_connections.size(); }
  /// Connections that were closed for want of room.
  [[nodiscard]] std::uint64_t closed() const { return m_closed; }

private:
  /// Closes a connection in favour of one from this address. Returns whether there was one that may
  /// be closed.
  [[nodiscard]] bool make_room(boost::asio::ip::address const& peer);
  [[nodiscard]] std::shared_ptr<connection> longest_resting(std::size_t least_of_address) const;
  [[nodiscard]] std::shared_ptr<connection> longest_read(std::size_t least_of_address) const;
  [[nodiscard]] std::size_t number_of(boost::asio::ip::address const& peer) const;
  void log_closed(boost::asio::ip::address const& peer);

  /// Those whose latest frame, or beginning, lies back furthest come first.
  std::list<std::shared_ptr<connection>> m_connections;
  std::map<boost::asio::ip::address, std::size_t> m_numbers;
  std::uint64_t m_closed = 0;
  std::chrono::steady_clock::time_point m_next_line{};
};

} // namespace catkinlanding::daemon
