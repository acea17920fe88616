#include <libraries/proxy/contact_times.h>

namespace catkinlanding::proxy {

void contact_times::note(base::instance_id const& from, base::monotonic_time now) {
  if (m_times.size() >= m_options.max_senders) {
    std::erase_if(m_times,
                  [&](auto const& item) { return now >= item.second + m_options.retention; });
  }
  if (m_times.contains(from) || m_times.size() < m_options.max_senders) {
    m_times[from] = now;
  }
}

std::optional<base::monotonic_time> contact_times::last(base::instance_id const& from) const {
  auto const found = m_times.find(from);
  return found == m_times.end() ? std::nullopt : std::optional(found->second);
}

} // namespace catkinlanding::proxy
