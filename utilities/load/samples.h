#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace catkinlanding::load {

/// Durations of requests. All samples are stored, so percentiles are exact.
class samples {
public:
  void add(std::chrono::nanoseconds sample) { m_values.push_back(sample); }

  [[nodiscard]] std::size_t size() const { return m_values.size(); }

  /// Returns the nearest-rank percentile: the smallest sample such that at least `fraction` (0 to
  /// 1) of all samples don't exceed it. Returns zero if there are no samples. Reorders the samples.
  [[nodiscard]] std::chrono::nanoseconds percentile(double fraction);

private:
  std::vector<std::chrono::nanoseconds> m_values;
};

} // namespace catkinlanding::load
