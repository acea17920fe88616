#pragma once

#include <libraries/base/time.h>

#include <random>

namespace catkinlanding::proxy {

/// The steady clock, which only the shell reads.
[[nodiscard]] inline base::monotonic_time now() {
  return std::chrono::time_point_cast<base::duration>(std::chrono::steady_clock::now());
}

/// A number from the system, to start the generators of the reducers with.
[[nodiscard]] inline std::uint64_t random_number() {
  std::random_device device;
  constexpr unsigned half = 32;
  return (std::uint64_t{device()} << half) | device();
}

} // namespace catkinlanding::proxy
