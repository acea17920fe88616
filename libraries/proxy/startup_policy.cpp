#include <libraries/proxy/startup_policy.h>

#include <algorithm>

namespace catkinlanding::proxy {

std::optional<base::monotonic_time> startup_policy::wait_end(base::monotonic_time started_at,
                                                             base::duration time_left,
                                                             base::monotonic_time now) const {
  auto const end = std::min(started_at + startup_wait, now + time_left - return_time);
  return now < end ? std::optional(end) : std::nullopt;
}

} // namespace catkinlanding::proxy
