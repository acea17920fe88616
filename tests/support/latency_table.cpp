#include <tests/support/latency_table.h>

#include <algorithm>
#include <cstdio>

namespace catkinlanding::testing {

namespace {

double quantile(latency_series const& series, double share) {
  auto latencies = series.latencies;
  std::ranges::sort(latencies);
  return latencies.at(static_cast<std::size_t>(share * static_cast<double>(latencies.size() - 1)))
      .count();
}

} // namespace

void print_latency_table(std::vector<latency_series> const& series_list) {
  std::printf("%-34s %8s %8s %8s\n", "requests, ms", "median", "p95", "p99");
  for (auto const& series : series_list) {
    std::printf("%-34s %8.2f %8.2f %8.2f\n", series.name.c_str(), quantile(series, 0.5),
                quantile(series, 0.95), quantile(series, 0.99));
  }
}

} // namespace catkinlanding::testing
