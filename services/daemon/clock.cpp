#include <services/daemon/clock.h>

#include <ctime>

namespace catkinlanding::daemon {

boot_clock::time_point boot_clock::now() noexcept {
  timespec time{};
  // Fails only for a clock that the system lacks; Linux has this one since 2.6.39.
  static_cast<void>(::clock_gettime(CLOCK_BOOTTIME, &time));
  return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace catkinlanding::daemon
