#include <utilities/capacity/meter.h>

#include <ctime>
#include <malloc.h>

namespace catkinlanding::capacity {

std::chrono::nanoseconds processor_time() {
  timespec time{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::size_t heap_bytes() {
  auto const info = ::mallinfo2();
  // `uordblks` leaves out large blocks, which malloc maps separately (`hblkhd`).
  return info.uordblks + info.hblkhd;
}

} // namespace catkinlanding::capacity
