#include <libraries/experiment/result.h>

#include <algorithm>

namespace catkinlanding::experiment {

double class_result::latency_quantile(double quantile) const {
  if (latencies.empty()) {
    return 0.0;
  }
  auto sorted = latencies;
  auto const index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
  std::ranges::nth_element(sorted, sorted.begin() + static_cast<std::ptrdiff_t>(index));
  return sorted[index];
}

double class_result::good_share() const {
  return answered == 0 ? 0.0 : static_cast<double>(good) / static_cast<double>(answered);
}

std::uint64_t result::answered() const {
  std::uint64_t sum = 0;
  for (auto const& [name, item] : classes) {
    sum += item.answered;
  }
  return sum;
}

std::uint64_t result::good() const {
  std::uint64_t sum = 0;
  for (auto const& [name, item] : classes) {
    sum += item.good;
  }
  return sum;
}

double result::cost_per_good_answer() const {
  return good() == 0 ? 0.0 : static_cast<double>(cost) / static_cast<double>(good());
}

} // namespace catkinlanding::experiment
