#include <libraries/base/try.h>
#include <services/daemon/connections/socket_buffers.h>
#include <services/daemon/listener.h>

#include <boost/asio/ip/address.hpp>

#include <array>

namespace catkinlanding::daemon {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using error_kind = enum listener_error::kind;

tl::unexpected<listener_error> make_error(error_kind kind, base::address const& address,
                                          boost::system::error_code const& error) {
  return tl::unexpected(
      listener_error{.kind = kind, .address = address, .reason = error.message()});
}

template<class Protocol>
tl::expected<typename Protocol::endpoint, listener_error>
make_endpoint(base::address const& address) {
  boost::system::error_code error;
  auto const ip = asio::ip::make_address(address.ip, error);
  if (error) {
    return make_error(error_kind::not_an_ip_number, address, error);
  }
  return typename Protocol::endpoint{ip, address.port};
}

/// Opens a socket or an acceptor and binds it.
template<class Protocol, class Socket>
tl::expected<void, listener_error> open_and_bind(Socket& socket, base::address const& address) {
  auto const endpoint = CATKINLANDING_TRY(make_endpoint<Protocol>(address));
  boost::system::error_code error;
  socket.open(endpoint.protocol(), error);
  if (error) {
    return make_error(error_kind::open_failed, address, error);
  }
  if constexpr (std::is_same_v<Protocol, tcp>) {
    socket.set_option(tcp::acceptor::reuse_address(true), error);
  }
  socket.bind(endpoint, error);
  if (error) {
    return make_error(error_kind::bind_failed, address, error);
  }
  return {};
}

} // namespace

char const* name_of(enum listener_error::kind kind) {
  constexpr std::array<char const*, 4> names{"not_an_ip_number", "open_failed", "bind_failed",
                                             "listen_failed"};
  return names.at(static_cast<std::size_t>(kind));
}

tl::expected<tcp::acceptor, listener_error> open_acceptor(asio::io_context& context,
                                                          base::address const& address) {
  tcp::acceptor acceptor(context);
  CATKINLANDING_TRY_VOID(open_and_bind<tcp>(acceptor, address));
  boost::system::error_code error;
  connections::bound_received_bytes(acceptor, resources::min_socket_bytes);
  acceptor.listen(resources::max_waiting_connections, error);
  if (error) {
    return make_error(error_kind::listen_failed, address, error);
  }
  return acceptor;
}

tl::expected<udp::socket, listener_error> open_datagram_socket(asio::io_context& context,
                                                               base::address const& address) {
  udp::socket socket(context);
  CATKINLANDING_TRY_VOID(open_and_bind<udp>(socket, address));
  boost::system::error_code error;
  socket.non_blocking(true, error);
  if (error) {
    return make_error(error_kind::open_failed, address, error);
  }
  return socket;
}

} // namespace catkinlanding::daemon
