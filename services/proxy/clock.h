#pragma once

#include <services/daemon/clock.h>

#include <cstdint>
#include <random>

namespace catkinlanding::proxy {

using daemon::now;

/// A random number from the system, for generator seeds and incarnation numbers.
[[nodiscard]] inline std::uint64_t random_number() {
  std::random_device device;
  constexpr unsigned half = 32;
  return (std::uint64_t{device()} << half) | device();
}

} // namespace catkinlanding::proxy
