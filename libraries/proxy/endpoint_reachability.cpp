#include <libraries/proxy/endpoint_reachability.h>

#include <utility>

namespace catkinlanding::proxy {

void endpoint_reachability::note_unreachable(base::endpoint_id const& endpoint,
                                             base::monotonic_time now) {
  if (m_is_cut_off) {
    return;
  }
  std::erase_if(m_unreachable,
                [&](auto const& item) { return now >= item.second + m_options.evidence_lifetime; });
  m_unreachable[endpoint] = now;
  m_is_cut_off = m_unreachable.size() >= m_options.min_unreachable;
  if (m_is_cut_off) {
    m_probed_at = now;
  }
}

bool endpoint_reachability::note_reached() {
  m_unreachable.clear();
  return std::exchange(m_is_cut_off, false);
}

void endpoint_reachability::note_heard() {
  if (!m_is_cut_off) {
    m_unreachable.clear();
  }
}

bool endpoint_reachability::take_probe(base::monotonic_time now) {
  bool const is_due = m_is_cut_off && now >= m_probed_at + m_options.probe_interval;
  if (is_due) {
    m_probed_at = now;
  }
  return is_due;
}

} // namespace catkinlanding::proxy
