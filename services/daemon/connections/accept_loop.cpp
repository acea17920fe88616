#include <services/daemon/connections/accept_loop.h>

namespace catkinlanding::daemon::connections {

namespace {

/// Connections that are accepted in one turn of the event loop.
constexpr std::size_t max_accepted_at_once = 64;

} // namespace

awaitable<void> accept_all(boost::asio::io_context& context,
                           boost::asio::ip::tcp::acceptor& acceptor, char const* part,
                           socket_handler on_socket) {
  boost::system::error_code ignored;
  acceptor.non_blocking(true, ignored);
  while (acceptor.is_open()) {
    auto [error, socket] = co_await acceptor.async_accept(context, completion);
    if (error == boost::asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      spdlog::warn("{} accept_failed error={}", part, error.message());
      co_await pause_accepting(context);
      continue;
    }
    on_socket(std::move(socket));
    accept_waiting(context, acceptor, max_accepted_at_once, on_socket);
  }
}

std::size_t accept_waiting(boost::asio::io_context& context,
                           boost::asio::ip::tcp::acceptor& acceptor, std::size_t max_connections,
                           socket_handler const& on_socket) {
  boost::system::error_code error;
  for (std::size_t accepted = 0; accepted < max_connections; ++accepted) {
    tcp_socket socket(context);
    acceptor.accept(socket, error);
    if (error) {
      return accepted;
    }
    on_socket(std::move(socket));
  }
  return max_connections;
}

} // namespace catkinlanding::daemon::connections
