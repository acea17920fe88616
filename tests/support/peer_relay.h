#pragma once

#include <libraries/proxy/message.h>
#include <services/daemon/coroutine.h>

#include <boost/asio/ip/udp.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace catkinlanding::testing {

/// Stands between an entry instance and a control instance on loopback, and carries their messages:
/// a datagram as a datagram, a frame of a connection over a connection. Each of the two takes the
/// relay for the other one. What goes over a connection towards the entry instance can be delayed,
/// or lost without any error, while the datagrams get through.
class peer_relay {
public:
  struct options {
    std::string control_ip;
    std::string entry_ip;
    /// The addresses under which the entry instance knows the control instance, and the control
    /// instance the entry instance.
    std::string control_alias_ip;
    std::string entry_alias_ip;
    int peer_port = 0;
  };

  explicit peer_relay(options options);
  peer_relay(peer_relay const&) = delete;
  peer_relay& operator=(peer_relay const&) = delete;
  ~peer_relay();

  /// Holds each frame to the entry instance back for this long.
  void delay_frames(std::chrono::milliseconds delay) { m_delay = delay; }
  /// Takes what comes over the connections that are open now, in both directions, and loses it.
  /// Later ones work.
  void blackhole_open_connections() { ++m_generation; }

  [[nodiscard]] int lost_frames() const { return m_lost_frames; }

private:
  /// One direction of the traffic.
  struct direction {
    base::instance_id sender;
    base::instance_id recipient;
    boost::asio::ip::address target;
    boost::asio::ip::udp::socket datagrams;
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, daemon::executor> acceptor;
    bool is_towards_entry = false;
  };

  [[nodiscard]] direction make_direction(std::string const& ip, std::string const& sender_ip,
                                         std::string const& target_ip);
  [[nodiscard]] base::instance_id instance(std::string const& ip) const;
  /// The message as the recipient gets it, with the relay's addresses in place of the true ones.
  [[nodiscard]] std::string rewrite(std::string_view bytes, direction const& direction) const;
  daemon::awaitable<void> carry_datagrams(direction& direction);
  daemon::awaitable<void> accept_connections(direction& direction);
  daemon::awaitable<void> carry_frames(direction& direction, daemon::tcp_stream from);

  options m_options;
  boost::asio::io_context m_context;
  direction m_to_control;
  direction m_to_entry;
  std::atomic<std::chrono::milliseconds> m_delay{};
  std::atomic<int> m_generation = 0;
  std::atomic<int> m_lost_frames = 0;
  std::thread m_thread;
};

} // namespace catkinlanding::testing
