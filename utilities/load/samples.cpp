#include <utilities/load/samples.h>

#include <algorithm>
#include <cmath>

namespace catkinlanding::load {

std::chrono::nanoseconds samples::percentile(double fraction) {
  if (m_values.empty()) {
    return {};
  }
  auto const rank = std::ceil(fraction * static_cast<double>(m_values.size()));
  auto const index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  auto const percentile_position = m_values.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(m_values.begin(), percentile_position, m_values.end());
  return *percentile_position;
}

} // namespace catkinlanding::load
