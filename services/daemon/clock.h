#pragma once

#include <libraries/base/time.h>

namespace catkinlanding::daemon {

/// The current time. Only the process layer reads the clock; the code under libraries/ gets the
/// time as an argument.
[[nodiscard]] inline base::monotonic_time now() {
  return std::chrono::time_point_cast<base::duration>(std::chrono::steady_clock::now());
}

} // namespace catkinlanding::daemon
