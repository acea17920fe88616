#include <libraries/cascade/model_choice.h>

#include <algorithm>

namespace catkinlanding::cascade {

double model_choice::limit(capacity const& left) const {
  if (!m_options.follows_capacity || m_options.ample_idle_share <= 0.0) {
    return m_options.min_confidence;
  }
  return m_options.min_confidence * std::min(1.0, left.idle_share() / m_options.ample_idle_share);
}

} // namespace catkinlanding::cascade
