#include <libraries/base/memory_budget.h>

#include <algorithm>
#include <utility>

namespace catkinlanding::base {

bool memory_budget::try_resize(std::size_t held, std::size_t wanted) {
  auto const used_by_others = m_used_bytes - held;
  auto const used_after = used_by_others + wanted;
  bool const is_within_limit = used_after <= m_options.max_bytes;
  auto const free_after = is_within_limit ? m_options.max_bytes - used_after : 0;
  auto const max_share =
      std::max(m_options.min_share_bytes, free_after / m_options.free_memory_divisor);
  bool const is_allowed = wanted <= held || wanted <= max_share;
  if (!is_allowed) {
    ++m_refusals;
    return false;
  }
  m_used_bytes = used_after;
  return true;
}

memory_share::memory_share(memory_share&& other) noexcept
    : m_budget(other.m_budget), m_bytes(std::exchange(other.m_bytes, 0)) {}

memory_share& memory_share::operator=(memory_share&& other) noexcept {
  if (this != &other) {
    release();
    m_budget = other.m_budget;
    m_bytes = std::exchange(other.m_bytes, 0);
  }
  return *this;
}

bool memory_share::try_resize(std::size_t bytes) {
  if (!m_budget->try_resize(m_bytes, bytes)) {
    return false;
  }
  m_bytes = bytes;
  return true;
}

void memory_share::release() {
  // A share can always be made smaller.
  static_cast<void>(try_resize(0));
}

} // namespace catkinlanding::base
