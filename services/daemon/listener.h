#pragma once

#include <libraries/base/address.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace catkinlanding::daemon {

/// Why the daemon can't listen on an address from its settings.
struct listener_error {
  enum class kind : std::uint8_t { not_an_ip_number, open_failed, bind_failed, listen_failed };

  kind kind = kind::bind_failed;
  base::address address;
  /// The error message of the operating system.
  std::string reason;
};

[[nodiscard]] char const* name_of(enum listener_error::kind kind);

/// Opens a listener. What the kernel receives for connections that wait to be accepted is bounded,
/// and so is their number; accepted ones have the same bound until they get another.
[[nodiscard]] tl::expected<boost::asio::ip::tcp::acceptor, listener_error>
open_acceptor(boost::asio::io_context& context, base::address const& address);

[[nodiscard]] tl::expected<boost::asio::ip::udp::socket, listener_error>
open_datagram_socket(boost::asio::io_context& context, base::address const& address);

} // namespace catkinlanding::daemon
