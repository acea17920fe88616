#include <services/daemon/request_buffer.h>

#include <algorithm>

namespace catkinlanding::daemon {

request_buffer::request_buffer(connections::open_connections::entry& connection)
    : m_connection(connection) {
  m_storage.max_size(usual_bytes);
}

void request_buffer::shrink() {
  if (m_storage.capacity() > usual_bytes) {
    m_storage.shrink_to_fit();
  }
  // What is pipelined stays, and may be more than the usual size.
  auto const bytes = std::max(m_storage.size(), usual_bytes);
  m_storage.max_size(bytes);
  m_connection.shrink_buffer(bytes > usual_bytes ? bytes : 0);
}

awaitable<request_buffer::growth> request_buffer::grow(std::size_t max_bytes) {
  auto const bytes = std::min(2 * m_storage.max_size(), max_bytes);
  if (bytes <= m_storage.max_size()) {
    co_return growth::too_large;
  }
  if (!co_await m_connection.hold_buffer(bytes)) {
    co_return growth::no_memory;
  }
  m_storage.max_size(bytes);
  co_return growth::grown;
}

} // namespace catkinlanding::daemon
