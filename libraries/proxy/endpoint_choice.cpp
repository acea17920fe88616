#include <libraries/base/hash.h>
#include <libraries/base/random.h>
#include <libraries/proxy/endpoint_choice.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

using candidates = std::vector<known_endpoint const*>;

/// Cost of each running request to the others on the same endpoint, in weighted prompt tokens.
constexpr std::uint64_t running_cost = 300;

bool is_in_backoff(known_endpoint const& endpoint, base::monotonic_time now) {
  return now < endpoint.backoff_until;
}

template<class Predicate>
candidates filter(candidates const& all, Predicate const& predicate) {
  candidates kept;
  std::ranges::copy_if(all, std::back_inserter(kept),
                       [&](known_endpoint const* one) { return predicate(*one); });
  return kept;
}

struct by_zone {
  candidates near;
  candidates far;
};

by_zone divide_by_zone(candidates const& all, base::availability_zone_id const& own_zone) {
  by_zone divided;
  for (auto const* one : all) {
    (one->announcement.zone == own_zone ? divided.near : divided.far).push_back(one);
  }
  return divided;
}

/// Returns the endpoints that have capacity, or all if none has.
candidates prefer_free(candidates all, choice_criteria const& criteria) {
  auto with_room =
      filter(all, [&](known_endpoint const& one) { return one.has_free_slot(criteria.slots); });
  return with_room.empty() ? std::move(all) : std::move(with_room);
}

/// Returns the endpoints of the own zone that have capacity; if there are none, all that have
/// capacity; if there are none of these either, all.
candidates prefer_own_zone(candidates const& usable, choice_criteria const& criteria) {
  auto near = prefer_free(divide_by_zone(usable, criteria.own_zone).near, criteria);
  bool const is_free = !near.empty() && near.front()->has_free_slot(criteria.slots);
  return is_free ? std::move(near) : prefer_free(usable, criteria);
}

std::uint64_t rank_of(known_endpoint const& endpoint, std::uint64_t seed) {
  return base::stable_hash(endpoint.announcement.id.value, seed);
}

/// What comes before the first token of a request with a prompt, the worst first.
struct delay {
  /// Without a free slot the request is queued until others have ended.
  bool is_queued = false;
  /// Estimated, in weighted prompt tokens.
  std::uint64_t work = 0;
  /// The way between zones adds little to the work, so it decides only where that is equal.
  bool is_far = false;

  auto operator<=>(delay const&) const = default;
};

delay delay_of(known_endpoint const& endpoint, bool has_cached_prompt,
               choice_criteria const& criteria) {
  return {.is_queued = !endpoint.has_free_slot(criteria.slots),
          .work = endpoint.pending_work() + running_cost * endpoint.load() +
                  (has_cached_prompt ? 0 : criteria.shared_work),
          .is_far = endpoint.announcement.zone != criteria.own_zone};
}

/// Draws endpoints to compare. Two are enough for an even load, and all instances that took the
/// least loaded of all by the same reports would meet at the same one.
void draw(candidates from, base::random_generator& random, candidates& drawn) {
  constexpr std::size_t compared_endpoints = 2;
  for (std::size_t i = 0; i < compared_endpoints && !from.empty(); ++i) {
    auto const place = random() % from.size();
    drawn.push_back(from[place]);
    from[place] = from.back();
    from.pop_back();
  }
}

/// The endpoint on which the prompt is expected to be cached: the one of the zone that ranks
/// highest, on which all instances of the zone agree.
known_endpoint const* cache_owner(by_zone const& usable, std::uint64_t seed) {
  auto const& holders = usable.near.empty() ? usable.far : usable.near;
  return *std::ranges::max_element(holders, {},
                                   [&](known_endpoint const* one) { return rank_of(*one, seed); });
}

known_endpoint const* choose_for_prompt(candidates const& usable, choice_criteria const& criteria) {
  auto zones = divide_by_zone(usable, criteria.own_zone);
  auto const* owner = cache_owner(zones, base::stable_hash(criteria.affinity));
  auto const idle =
      filter(zones.near, [&](known_endpoint const& one) { return one.is_idle(criteria.slots); });
  base::random_generator random(criteria.salt);
  candidates drawn{owner};
  if (idle.empty()) {
    draw(prefer_free(std::move(zones.near), criteria), random, drawn);
    draw(prefer_free(std::move(zones.far), criteria), random, drawn);
  } else {
    // Where the prompt is processed at once in the own zone, no other link need hold.
    draw(idle, random, drawn);
  }
  return *std::ranges::min_element(
      drawn, {}, [&](known_endpoint const* one) { return delay_of(*one, one == owner, criteria); });
}

/// The part of the requests that an endpoint gets among others: what it has free, so that the sum
/// over all instances fills the endpoints evenly although each sees the load of a while ago.
double weight_of(known_endpoint const& endpoint, choice_criteria const& criteria) {
  auto const slots = endpoint.slots(criteria.slots);
  return slots > endpoint.load() ? static_cast<double>(slots - endpoint.load())
                                 : 1.0 / (1.0 + static_cast<double>(endpoint.load()));
}

known_endpoint const* choose_by_room(candidates const& usable, choice_criteria const& criteria) {
  auto const weights = [&](known_endpoint const* one) { return weight_of(*one, criteria); };
  double total = 0.0;
  for (auto const* one : usable) {
    total += weights(one);
  }
  base::random_generator random(criteria.salt);
  auto left = std::uniform_real_distribution<double>(0.0, total)(random);
  for (auto const* one : usable) {
    left -= weights(one);
    if (left < 0.0) {
      return one;
    }
  }
  return usable.back();
}

} // namespace

std::string affinity_of(std::vector<prompt_part> const& prompt) {
  if (prompt.empty()) {
    return {};
  }
  auto const place = prompt.size() >= 2 ? prompt.size() - 2 : 0;
  return prompt[place].id;
}

known_endpoint const* choose_endpoint(std::vector<known_endpoint const*> const& all,
                                      choice_criteria const& criteria, base::monotonic_time now) {
  if (all.empty()) {
    return nullptr;
  }
  auto usable = filter(all, [&](known_endpoint const& one) { return !is_in_backoff(one, now); });
  if (usable.empty()) {
    // The endpoint whose backoff ends first is the most likely to have recovered.
    return *std::ranges::min_element(all, {}, [](auto const* one) { return one->backoff_until; });
  }
  if (!criteria.affinity.empty()) {
    return choose_for_prompt(usable, criteria);
  }
  return choose_by_room(prefer_own_zone(usable, criteria), criteria);
}

} // namespace catkinlanding::proxy
