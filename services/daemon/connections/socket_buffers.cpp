#include <services/daemon/connections/socket_buffers.h>

#include <algorithm>

namespace catkinlanding::daemon::connections {

namespace {

/// A connection gets no more than this part of what is free, so that later ones get something.
constexpr std::size_t free_memory_divisor = 16;

/// Takes the largest share that there is, up to this size.
void take_largest(tcp_socket& socket, base::memory_share& share, std::size_t max_bytes) {
  auto const before = share.bytes();
  auto const least = std::max(before, resources::min_socket_bytes);
  auto bytes = max_bytes;
  while (bytes > least && !share.try_resize(bytes)) {
    bytes /= 2;
  }
  if (share.bytes() == 0) {
    // The smallest share is always allowed.
    static_cast<void>(share.try_resize(resources::min_socket_bytes));
  }
  if (share.bytes() != before) {
    bound_received_bytes(socket, share.bytes());
  }
}

} // namespace

socket_buffers::socket_buffers(std::size_t max_bytes)
    : m_memory({.max_bytes = max_bytes,
                .min_share_bytes = resources::min_socket_bytes,
                .free_memory_divisor = free_memory_divisor}) {}

base::memory_share socket_buffers::bound(tcp_socket& socket) {
  base::memory_share share(m_memory);
  take_largest(socket, share, resources::usual_socket_bytes);
  return share;
}

void socket_buffers::raise(tcp_socket& socket, base::memory_share& share) const {
  take_largest(socket, share, resources::max_socket_bytes);
}

void socket_buffers::lower(tcp_socket& socket, base::memory_share& share) const {
  if (share.bytes() > resources::usual_socket_bytes) {
    // A smaller share is always allowed.
    static_cast<void>(share.try_resize(resources::usual_socket_bytes));
    bound_received_bytes(socket, share.bytes());
  }
}

} // namespace catkinlanding::daemon::connections
