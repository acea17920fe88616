#include <libraries/base/memory_budget.h>

#include <algorithm>
#include <utility>

namespace catkinlanding::base {

bool memory_budget::usage::try_resize(std::size_t held, std::size_t wanted) {
  auto const used_after = used_bytes - held + wanted;
  bool const is_within_limit = used_after <= options.max_bytes;
  auto const free_after = is_within_limit ? options.max_bytes - used_after : 0;
  bool const may_take_all = is_within_limit && options.free_memory_divisor == 0;
  auto const max_share =
      options.free_memory_divisor == 0
          ? options.min_share_bytes
          : std::max(options.min_share_bytes, free_after / options.free_memory_divisor);
  bool const is_allowed = wanted <= held || may_take_all || wanted <= max_share;
  if (!is_allowed) {
    ++refusals;
    return false;
  }
  used_bytes = used_after;
  return true;
}

memory_share::memory_share(memory_share&& other) noexcept
    : m_usage(std::move(other.m_usage)), m_bytes(std::exchange(other.m_bytes, 0)) {}

memory_share& memory_share::operator=(memory_share&& other) noexcept {
  if (this != &other) {
    release();
    m_usage = std::move(other.m_usage);
    m_bytes = std::exchange(other.m_bytes, 0);
  }
  return *this;
}

bool memory_share::try_resize(std::size_t bytes) {
  if (!m_usage->try_resize(m_bytes, bytes)) {
    return false;
  }
  m_bytes = bytes;
  return true;
}

void memory_share::release() {
  // A share that was moved from holds nothing; any other can always be made smaller.
  if (m_usage) {
    static_cast<void>(try_resize(0));
  }
}

} // namespace catkinlanding::base
