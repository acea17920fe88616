#include <libraries/proxy/stall_policy.h>

#include <algorithm>

namespace catkinlanding::proxy {

bool stall_policy::may_queue(known_endpoint const* endpoint) {
  return endpoint != nullptr && endpoint->announcement.slots != 0 &&
         endpoint->load() > endpoint->announcement.slots;
}

base::duration stall_policy::max_pause(route const& route,
                                       answer_times::record const& usual) const {
  // A pause that the operator allows is none that the caller has to be spared.
  auto const usual_pause = usual.pause.longest_usual().value_or(base::duration::zero());
  return std::max({max_sound_silence, route.target_pause, usual_pause});
}

base::monotonic_time stall_policy::replacement_deadline(route const& route,
                                                        base::monotonic_time began_at,
                                                        answer_times::record const& usual) const {
  auto const longest = usual.first.longest_usual();
  auto const least = route.is_stream() ? max_sound_silence : base::duration::zero();
  return began_at + std::max(longest.value_or(max_sound_silence), least);
}

std::optional<base::monotonic_time> stall_policy::deadline(route const& route,
                                                           attempt_times const& times,
                                                           answer_times::record const& usual,
                                                           known_endpoint const* endpoint) const {
  if (route.is_stream() && times.has_answer) {
    return times.progress_at + max_pause(route, usual);
  }
  if (route.is_stream()) {
    return first_event_deadline(times, usual, endpoint);
  }
  auto const longest = usual.first.longest_usual();
  return longest && !times.has_answer ? std::optional(times.attempt_at + *longest) : std::nullopt;
}

std::optional<base::monotonic_time>
stall_policy::first_event_deadline(attempt_times const& times, answer_times::record const& usual,
                                   known_endpoint const* endpoint) const {
  // A busy endpoint still sends events on other requests while this prompt is queued; a failed one
  // sends none.
  auto const longest = usual.first.longest_usual();
  if (may_queue(endpoint) || !longest) {
    return std::nullopt;
  }
  auto const last_activity_at = endpoint == nullptr ? times.attempt_at : endpoint->last_activity_at;
  return std::max(times.attempt_at + std::max(*longest, max_sound_silence),
                  last_activity_at + max_sound_silence);
}

} // namespace catkinlanding::proxy
