#include <services/daemon/connections/process_limits.h>

#include <sys/resource.h>

#include <algorithm>
#include <malloc.h>

namespace catkinlanding::daemon::connections {

resources::machine read_machine(std::size_t memory_bytes, std::optional<std::size_t> descriptors) {
  resources::machine machine{.memory_bytes = memory_bytes};
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    machine.descriptors = limit.rlim_cur;
  }
  machine.descriptors = std::min(machine.descriptors, descriptors.value_or(machine.descriptors));
  return machine;
}

void return_freed_buffers() {
  constexpr int min_mapped_bytes = 128 * 1024;
  ::mallopt(M_MMAP_THRESHOLD, min_mapped_bytes);
}

} // namespace catkinlanding::daemon::connections
