#include <services/daemon/socket_state.h>

#include <sys/socket.h>

#include <cerrno>

namespace catkinlanding::daemon {

socket_state state_of(tcp_socket& socket) {
  char byte = 0;
  auto const received =
      ::recv(socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return socket_state::has_input;
  }
  bool const has_nothing_to_read = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return has_nothing_to_read ? socket_state::open_without_input : socket_state::closed;
}

} // namespace catkinlanding::daemon
