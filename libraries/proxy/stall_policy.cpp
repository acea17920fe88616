#include <libraries/proxy/stall_policy.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

base::duration multiply(base::duration duration, double factor) {
  return std::chrono::duration_cast<base::duration>(duration * factor);
}

} // namespace

std::optional<base::monotonic_time> stall_policy::deadline(route const& route,
                                                           attempt_times const& times,
                                                           known_endpoint const* endpoint) const {
  if (!route.is_stream()) {
    bool const has_target = route.target_latency > base::duration::zero() && !times.has_answer;
    return has_target
               ? std::optional(times.attempt_at + multiply(route.target_latency, latency_factor))
               : std::nullopt;
  }
  if (times.has_answer) {
    auto const pause = multiply(route.target_pause, pause_factor);
    return times.progress_at + std::max(pause, min_timeout);
  }
  // A busy endpoint still sends events on other requests while this prompt is queued; a failed one
  // sends none.
  bool const is_full = endpoint != nullptr && endpoint->announcement.slots != 0 &&
                       endpoint->load() > endpoint->announcement.slots;
  if (is_full) {
    return std::nullopt;
  }
  auto const last_activity_at = endpoint == nullptr ? times.attempt_at : endpoint->last_activity_at;
  auto const due = times.attempt_at + std::max(route.target_latency, min_timeout);
  return std::max(due, last_activity_at + min_timeout);
}

} // namespace catkinlanding::proxy
