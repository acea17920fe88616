#include <services/daemon/request_buffer.h>

#include <algorithm>

namespace catkinlanding::daemon {

request_buffer::request_buffer(base::memory_budget const& memory) : m_memory(memory) {
  m_storage.max_size(usual_bytes);
}

void request_buffer::shrink() {
  if (m_storage.capacity() > usual_bytes) {
    m_storage.shrink_to_fit();
  }
  // What is pipelined stays, and may be more than the usual size.
  auto const bytes = std::max(m_storage.size(), usual_bytes);
  m_storage.max_size(bytes);
  // A smaller share is always allowed.
  static_cast<void>(m_memory.try_resize(bytes > usual_bytes ? bytes : 0));
}

request_buffer::growth request_buffer::grow(std::size_t max_bytes) {
  auto const bytes = std::min(2 * m_storage.max_size(), max_bytes);
  if (bytes <= m_storage.max_size()) {
    return growth::too_large;
  }
  if (!m_memory.try_resize(bytes)) {
    return growth::no_memory;
  }
  m_storage.max_size(bytes);
  return growth::grown;
}

} // namespace catkinlanding::daemon
