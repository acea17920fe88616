#pragma once

#include <libraries/base/address.h>
#include <libraries/base/identifier.h>
#include <libraries/base/memory_budget.h>
#include <libraries/resources/plan.h>
#include <services/daemon/coroutine.h>
#include <services/daemon/inbound_connections.h>

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

/// Sets the socket options of outgoing connections between instances: disables Nagle's algorithm,
/// and closes connections whose bytes, or probes while they rest, are not acknowledged in time.
void set_peer_socket_options(tcp_socket& socket);

/// Sends frames between instances: small ones as UDP datagrams, larger ones over TCP connections.
/// Frames may be lost, duplicated or reordered; the protocols above tolerate this.
class frame_transport {
public:
  /// Limits the memory that forged datagrams with invented instance ids can use.
  static constexpr std::size_t max_peers = 4096;
  /// Must be called with the sender's id before the frame is processed, so that a reply can be
  /// sent.
  using sender_callback = std::function<void(base::instance_id const& from)>;
  /// Decodes and processes a frame. Returns whether it could be decoded.
  using handler = std::function<bool(std::string_view bytes, sender_callback const& report_sender)>;

  /// Both are bound to the address under which the other instances know this one.
  struct sockets {
    boost::asio::ip::udp::socket datagrams;
    boost::asio::ip::tcp::acceptor acceptor;
  };

  frame_transport(boost::asio::io_context& context, sockets sockets,
                  std::map<base::instance_id, base::address> const& peers, handler on_frame,
                  resources::peer_plan const& bounds = resources::plan_daemon({}).peers);

  /// With `needs_new_connection` this frame and later ones use another connection than the earlier
  /// ones, which may have been lost in it.
  void send(base::instance_id const& to, std::string bytes, bool needs_new_connection = false);

  /// Sets the address of an instance, and drops the connection to its previous address.
  void set_peer_address(base::instance_id const& instance, base::address const& address);
  /// Bytes of the frames that are being sent, or wait to be, over all connections.
  [[nodiscard]] std::size_t queued_bytes() const { return m_queue_memory.used_bytes(); }
  /// The connections that other instances have opened.
  [[nodiscard]] inbound_connections const& inbound() const { return m_inbound_connections; }
  /// Drops the connection to the instance with its queued frames. The next frame opens a new one.
  void drop_connection(base::instance_id const& to);

private:
  struct connection {
    connection(boost::asio::io_context& context, base::memory_budget const& budget)
        : stream(context), memory(budget) {}

    tcp_stream stream;
    /// The frames that wait behind the one that is being written.
    std::deque<std::string> queue;
    /// The memory of all of them.
    base::memory_share memory;
    bool is_writing = false;
    /// Whether a frame was written as a whole.
    bool has_sent = false;
  };

  awaitable<void> receive_datagrams();
  awaitable<void> serve(std::shared_ptr<inbound_connections::connection> connection);
  /// Returns whether more frames can be read from the connection.
  awaitable<bool> read_frame(inbound_connections::connection& connection);
  /// Opens the connection, or another socket if the recipient has closed it since the last frame.
  /// Returns whether it is open.
  awaitable<bool> connect(base::instance_id to, std::shared_ptr<connection> connection);
  awaitable<void> write_frames(base::instance_id to, std::shared_ptr<connection> connection);
  void send_over_connection(base::instance_id const& to, std::string bytes);
  /// Makes the next larger frame open a connection, unless the current one has sent none yet. What
  /// the current one has taken is still sent.
  void replace_connection(base::instance_id const& to);
  /// Closes an outgoing connection on which nothing is being sent. Returns whether there was one.
  bool drop_resting_connection();
  /// Takes memory for a frame, from the oldest frames that wait if there is no other: what they
  /// hold is repeated by now, or outdated. Returns false if the frame has to be dropped itself.
  bool make_room(base::instance_id const& to, connection& connection, std::size_t bytes);
  /// Passes a frame to the handler and returns whether it could be decoded. `sender` is the source
  /// of a datagram, which becomes the address of an instance whose address isn't known yet.
  bool deliver(std::string_view bytes, boost::asio::ip::udp::endpoint const* sender);
  void remove_connection(base::instance_id const& to,
                         std::shared_ptr<connection> const& connection);
  void log_unreadable(char const* what, std::size_t bytes);
  /// Logs that the connection to an instance failed, and which of its frames are lost.
  void log_lost(base::instance_id const& to, connection const& connection, char const* reason);
  void log_dropped(base::instance_id const& to, std::size_t frames);

  boost::asio::io_context& m_context;
  std::map<base::instance_id, boost::asio::ip::tcp::endpoint> m_peers;
  handler m_on_frame;
  boost::asio::ip::udp::socket m_datagrams;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::map<base::instance_id, std::shared_ptr<connection>> m_connections;
  inbound_connections m_inbound_connections;
  std::size_t m_max_outbound;
  base::memory_budget m_queue_memory;
  std::uint64_t m_unreadable_frames = 0;
  std::uint64_t m_lost_connections = 0;
  std::chrono::steady_clock::time_point m_next_loss_line{};
  std::uint64_t m_dropped_frames = 0;
  std::chrono::steady_clock::time_point m_next_drop_line{};
  std::chrono::steady_clock::time_point m_next_warning{};
};

} // namespace catkinlanding::daemon
