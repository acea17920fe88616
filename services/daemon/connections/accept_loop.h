#pragma once

#include <services/daemon/coroutine.h>

#include <functional>

namespace catkinlanding::daemon::connections {

/// Takes a connection that was accepted.
using socket_handler = std::function<void(tcp_socket)>;

/// Accepts connections until the acceptor is closed. What waits already is taken at once, up to a
/// limit: if only one were taken in each turn of the event loop, callers would wait the longer the
/// busier the other connections are. `part` is the component's name in the log.
[[nodiscard]] awaitable<void> accept_all(boost::asio::io_context& context,
                                         boost::asio::ip::tcp::acceptor& acceptor, char const* part,
                                         socket_handler on_socket);

/// Accepts the connections that wait already. Returns how many there were.
std::size_t accept_waiting(boost::asio::io_context& context,
                           boost::asio::ip::tcp::acceptor& acceptor, std::size_t max_connections,
                           socket_handler const& on_socket);

} // namespace catkinlanding::daemon::connections
