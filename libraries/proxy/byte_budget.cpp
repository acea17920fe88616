#include <libraries/proxy/byte_budget.h>

#include <algorithm>

namespace catkinlanding::proxy {

bool byte_budget::try_take(std::size_t bytes, base::monotonic_time now) {
  if (m_used_until > now + time_of(m_options.burst_bytes)) {
    return false;
  }
  m_used_until = std::max(m_used_until, now) + time_of(bytes);
  return true;
}

base::duration byte_budget::time_of(std::uint64_t bytes) const {
  auto const seconds = static_cast<double>(bytes) / static_cast<double>(m_options.bytes_per_second);
  return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

} // namespace catkinlanding::proxy
