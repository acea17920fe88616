#pragma once

#include <libraries/base/time.h>

#include <random>

namespace catkinlanding::proxy {

/// The current time. Only this process layer reads the clock; the code under libraries/ gets the
/// time as an argument.
[[nodiscard]] inline base::monotonic_time now() {
  return std::chrono::time_point_cast<base::duration>(std::chrono::steady_clock::now());
}

/// A random number from the system, for generator seeds and incarnation numbers.
[[nodiscard]] inline std::uint64_t random_number() {
  std::random_device device;
  constexpr unsigned half = 32;
  return (std::uint64_t{device()} << half) | device();
}

} // namespace catkinlanding::proxy
