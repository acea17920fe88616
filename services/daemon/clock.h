#pragma once

#include <libraries/base/time.h>

namespace catkinlanding::daemon {

/// The clock of leases, deadlines and timers. Unlike `std::chrono::steady_clock` it counts the time
/// in which the machine is suspended: the other instances go on meanwhile.
///
/// Its time points have the type of those of `std::chrono::steady_clock`, but must not be compared
/// with them, or handed to a timer of that clock, such as those of `tcp_stream`: use a duration.
struct boot_clock {
  using duration = std::chrono::steady_clock::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::steady_clock::time_point;
  static constexpr bool is_steady = true;

  [[nodiscard]] static time_point now() noexcept;
};

/// The current time. Only the process layer reads the clock; the code under libraries/ gets the
/// time as an argument.
[[nodiscard]] inline base::monotonic_time now() {
  return std::chrono::time_point_cast<base::duration>(boot_clock::now());
}

} // namespace catkinlanding::daemon
