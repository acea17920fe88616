#include <libraries/endpoints/offset_estimate.h>

#include <algorithm>

namespace catkinlanding::endpoints {

base::monotonic_time offset_estimate::add(base::duration sent_at,
                                          base::monotonic_time received_at) {
  if (received_at >= m_window_end) {
    m_previous = m_current;
    m_current.reset();
    m_window_end = received_at + window;
  }
  base::duration const offset = received_at.time_since_epoch() - sent_at;
  m_current = std::min(m_current.value_or(offset), offset);
  auto const min_offset = std::min(*m_current, m_previous.value_or(offset));
  return base::monotonic_time(sent_at + min_offset);
}

} // namespace catkinlanding::endpoints
