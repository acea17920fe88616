#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace catkinlanding::testing {

/// Measured latencies of one kind of request.
struct latency_series {
  using milliseconds = std::chrono::duration<double, std::milli>;

  std::string name;
  std::vector<milliseconds> latencies;
};

/// Prints the median, the 95th and the 99th percentile of each series, in milliseconds.
void print_latency_table(std::vector<latency_series> const& series_list);

} // namespace catkinlanding::testing
