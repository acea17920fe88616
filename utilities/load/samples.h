#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace catkinlanding::load {

/// Times of requests, kept one by one, so that percentiles are exact.
class samples {
public:
  void add(std::chrono::nanoseconds sample) { m_values.push_back(sample); }

  [[nodiscard]] std::size_t size() const { return m_values.size(); }

  /// The smallest sample that at least this share, from 0 to 1, does not exceed; zero without
  /// samples.
  [[nodiscard]] std::chrono::nanoseconds percentile(double fraction);

private:
  std::vector<std::chrono::nanoseconds> m_values;
};

} // namespace catkinlanding::load
