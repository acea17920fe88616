#pragma once

#include <libraries/base/memory_budget.h>
#include <libraries/resources/plan.h>
#include <services/daemon/coroutine.h>

namespace catkinlanding::daemon::connections {

/// Makes the kernel receive about this many bytes for the socket at most until they are read. What
/// it receives counts as memory of the machine.
template<class Socket>
void bound_received_bytes(Socket& socket, std::size_t bytes) {
  // The kernel takes up to one and a half times what is set, but for the smallest sizes.
  auto const set = bytes > resources::min_socket_bytes ? bytes - bytes / 3 : bytes;
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::receive_buffer_size(static_cast<int>(set)), ignored);
}

/// Divides among the connections of one kind what the kernel may receive for them. Each gets a
/// little when it comes, and enough not to be slowed down while much is expected of it.
class socket_buffers {
public:
  explicit socket_buffers(std::size_t max_bytes);

  /// Bounds what is received for the connection, by a share that has to be kept as long as its
  /// socket.
  [[nodiscard]] base::memory_share bound(tcp_socket& socket);
  /// Gives the connection a larger share, if there is one, while a body is read from it.
  void raise(tcp_socket& socket, base::memory_share& share) const;
  /// Takes the larger share back.
  void lower(tcp_socket& socket, base::memory_share& share) const;
  [[nodiscard]] std::size_t used_bytes() const { return m_memory.used_bytes(); }

private:
  base::memory_budget m_memory;
};

} // namespace catkinlanding::daemon::connections
