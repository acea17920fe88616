#include <libraries/proxy/model_ladder.h>

#include <algorithm>
#include <cmath>

namespace catkinlanding::proxy {

void model_ladder::note_first_token(base::duration took, base::duration target,
                                    base::monotonic_time now) {
  if (target <= base::duration::zero()) {
    return;
  }
  double const seen = std::chrono::duration<double>(took) / std::chrono::duration<double>(target);
  m_pressure = pressure(now) * (1.0 - m_options.gain) + seen * m_options.gain;
  m_noted_at = now;
}

double model_ladder::needed_confidence(base::monotonic_time now) const {
  double const span = m_options.full_pressure - m_options.light_pressure;
  double const part = (pressure(now) - m_options.light_pressure) / span;
  return m_options.highest_confidence * (1.0 - std::clamp(part, 0.0, 1.0));
}

double model_ladder::pressure(base::monotonic_time now) const {
  double const half_lives = std::chrono::duration<double>(now - m_noted_at) /
                            std::chrono::duration<double>(m_options.half_life);
  return m_pressure * std::exp2(-std::max(half_lives, 0.0));
}

} // namespace catkinlanding::proxy
