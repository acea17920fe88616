#include <libraries/limits/share_source.h>

#include <utility>

namespace catkinlanding::limits {

share_source::share_source(options options)
    : m_options(std::move(options)), m_sources(m_options.relays) {
  m_sources.insert(m_sources.end(), m_options.control_instances.begin(),
                   m_options.control_instances.end());
}

base::instance_id const* share_source::next(base::monotonic_time now) {
  if (m_sources.empty()) {
    return nullptr;
  }
  if (!std::exchange(m_is_answered, false)) {
    m_current = (m_current + 1) % m_sources.size();
    m_return_due = now + m_options.return_interval;
  } else if (!m_options.relays.empty() && m_current != 0 && now >= m_return_due) {
    m_current = 0;
  }
  return &m_sources[m_current];
}

} // namespace catkinlanding::limits
