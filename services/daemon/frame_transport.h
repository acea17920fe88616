#pragma once

#include <libraries/base/address.h>
#include <libraries/base/identifier.h>
#include <services/daemon/coroutine.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace catkinlanding::daemon {

/// Sets what every outgoing connection between instances has: no delay for small frames, and an end
/// to connections whose bytes are not acknowledged.
void set_peer_socket_options(tcp_socket& socket);

/// Carries frames of bytes between instances: small ones as datagrams, larger ones over
/// connections. Frames may be lost, doubled or reordered; the parts allow for that.
class frame_transport {
public:
  /// Foreign senders must not fill the memory with made-up instances.
  static constexpr std::size_t max_peers = 4096;

  /// Says from whom a frame is, before it is answered.
  using sender_callback = std::function<void(base::instance_id const& from)>;
  /// Takes a frame apart and returns whether it could be read.
  using handler = std::function<bool(std::string_view bytes, sender_callback const& report_sender)>;

  /// Both are bound to the address that the others know.
  struct sockets {
    boost::asio::ip::udp::socket datagrams;
    boost::asio::ip::tcp::acceptor acceptor;
  };

  frame_transport(boost::asio::io_context& context, sockets sockets,
                  std::map<base::instance_id, base::address> const& peers, handler on_frame);

  void send(base::instance_id const& to, std::string bytes);

  /// From now on the instance is reached at this address.
  void set_peer_address(base::instance_id const& instance, base::address const& address);
  /// Gives up what is queued for the instance; the next frame opens another connection.
  void drop_connection(base::instance_id const& to);

private:
  struct connection {
    explicit connection(boost::asio::io_context& context) : stream(context) {}

    tcp_stream stream;
    std::deque<std::string> queue;
    std::size_t queued_bytes = 0;
  };

  awaitable<void> receive_datagrams();
  awaitable<void> accept_connections();
  awaitable<void> serve(tcp_stream stream);
  /// Returns whether the connection is worth reading on.
  awaitable<bool> read_frame(tcp_stream& stream);
  awaitable<void> write_frames(base::instance_id to, std::shared_ptr<connection> connection);
  void send_over_connection(base::instance_id const& to, std::string bytes);
  /// Returns whether the bytes are a message. An instance that nobody has told of yet can be
  /// answered where its datagram came from.
  bool deliver(std::string_view bytes, boost::asio::ip::udp::endpoint const* sender);
  void remove_connection(base::instance_id const& to,
                         std::shared_ptr<connection> const& connection);
  void log_unreadable(char const* what, std::size_t bytes);

  boost::asio::io_context& m_context;
  std::map<base::instance_id, boost::asio::ip::tcp::endpoint> m_peers;
  handler m_on_frame;
  boost::asio::ip::udp::socket m_datagrams;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::map<base::instance_id, std::shared_ptr<connection>> m_connections;
  std::size_t m_inbound_connections = 0;
  std::uint64_t m_unreadable_frames = 0;
  std::chrono::steady_clock::time_point m_next_warning{};
};

} // namespace catkinlanding::daemon
