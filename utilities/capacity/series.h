#pragma once

#include <utilities/capacity/fit.h>

#include <cstdint>

namespace catkinlanding::capacity {

/// A benchmark of how the costs of one mechanism grow with its workload.
struct measurement {
  char const* name;
  std::vector<series> (*run)(std::uint64_t seed);
};

[[nodiscard]] std::vector<measurement> const& measurements();

} // namespace catkinlanding::capacity
