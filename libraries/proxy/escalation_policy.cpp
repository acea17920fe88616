#include <libraries/proxy/escalation_policy.h>

#include <algorithm>
#include <cmath>

namespace catkinlanding::proxy {

void escalation_policy::note_first_token(base::duration took, base::duration target,
                                         base::monotonic_time now) {
  if (target <= base::duration::zero()) {
    return;
  }
  double const seen = std::chrono::duration<double>(took) / std::chrono::duration<double>(target);
  m_pressure =
      pressure(now) * (1.0 - m_options.smoothing_factor) + seen * m_options.smoothing_factor;
  m_noted_at = now;
}

double escalation_policy::required_confidence(base::monotonic_time now) const {
  double const span = m_options.max_pressure - m_options.min_pressure;
  double const part = (pressure(now) - m_options.min_pressure) / span;
  return m_options.max_required_confidence * (1.0 - std::clamp(part, 0.0, 1.0));
}

double escalation_policy::pressure(base::monotonic_time now) const {
  double const half_lives = std::chrono::duration<double>(now - m_noted_at) /
                            std::chrono::duration<double>(m_options.half_life);
  return m_pressure * std::exp2(-std::max(half_lives, 0.0));
}

} // namespace catkinlanding::proxy
