#include <libraries/proxy/refusal_policy.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

/// Callers are told milliseconds.
constexpr std::chrono::milliseconds min_distance{1};

} // namespace

refusal refusal_policy::make(refusal_kind kind) const {
  if (kind == refusal_kind::no_document) {
    return {.kind = kind, .retry_after = m_options.recovery_time};
  }
  if (kind == refusal_kind::stopping) {
    // Another instance accepts the request at once.
    return {.kind = kind, .retry_after = base::duration::zero()};
  }
  return {.kind = kind};
}

refusal refusal_policy::make(refusal_kind kind, prospect const& prospect,
                             base::monotonic_time now) {
  auto const wait = prospect.endpoints ? next_turn(prospect, now) : m_options.announcement_interval;
  return {.kind = kind, .retry_after = wait};
}

base::duration refusal_policy::next_turn(prospect const& prospect, base::monotonic_time now) {
  auto const& endpoints = *prospect.endpoints;
  // Of so many requests that take so long one ends in this time, and leaves its place.
  auto const until_place =
      prospect.usual_time / std::max<std::uint32_t>(endpoints.own_outstanding, 1);
  auto const distance = std::max<base::duration>({until_place, endpoints.spacing, min_distance});
  auto turn = now + endpoints.wait;
  for (auto const& [other, work] : m_returns.of(prospect.service, now)) {
    if (turn + distance <= other) {
      break;
    }
    turn = std::max(turn, other + distance);
  }
  m_returns.add(prospect.service, turn, std::chrono::duration<double>(distance).count(), now);
  return turn - now;
}

} // namespace catkinlanding::proxy
