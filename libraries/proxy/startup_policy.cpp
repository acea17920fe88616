#include <libraries/proxy/startup_policy.h>

#include <algorithm>

namespace catkinlanding::proxy {

std::optional<base::monotonic_time> startup_policy::wait_end(base::monotonic_time started_at,
                                                             base::duration caller_timeout,
                                                             base::duration waited,
                                                             base::monotonic_time now) const {
  auto const own_limit =
      std::chrono::duration_cast<base::duration>(caller_timeout * max_wait_fraction - waited);
  auto const end = std::min(started_at + startup_wait, now + own_limit);
  return now < end ? std::optional(end) : std::nullopt;
}

} // namespace catkinlanding::proxy
