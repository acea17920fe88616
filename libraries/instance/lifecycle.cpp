#include <libraries/instance/lifecycle.h>

namespace catkinlanding::instance {

void lifecycle::stop(base::monotonic_time now) {
  if (!m_draining_from) {
    m_draining_from = now + m_options.stop_notice;
  }
}

bool lifecycle::is_draining(base::monotonic_time now) const {
  return m_draining_from && now >= *m_draining_from;
}

bool lifecycle::is_ready(catalogue::revision revision, base::monotonic_time now) const {
  bool const is_warm = now >= m_options.started_at + m_options.warm_up;
  return is_warm && revision > 0 && !is_stopping();
}

} // namespace catkinlanding::instance
