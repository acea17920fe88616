#include <libraries/base/hash.h>
#include <libraries/proxy/endpoint_choice.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

using candidates = std::vector<known_endpoint const*>;

/// Cost of each running request to the others on the same endpoint, in weighted prompt tokens.
constexpr std::uint64_t running_cost = 300;
/// Penalty for an endpoint in another zone, in weighted prompt tokens: about a second of prompt
/// processing. A lossy or interrupted link between zones delays every stream on it.
constexpr std::uint64_t other_zone_cost = 120'000;
/// Penalty for an endpoint without a free slot, which queues the request until others have ended.
constexpr std::uint64_t full_cost = 1'000'000;

bool is_in_backoff(known_endpoint const& endpoint, base::monotonic_time now) {
  return now < endpoint.backoff_until;
}

std::uint32_t slots_of(known_endpoint const& endpoint, choice_criteria const& criteria) {
  return endpoint.announcement.slots != 0 ? endpoint.announcement.slots : criteria.slots;
}

bool has_room(known_endpoint const& endpoint, choice_criteria const& criteria) {
  auto const slots = slots_of(endpoint, criteria);
  return slots == 0 || endpoint.load() < slots;
}

template<class Predicate>
candidates filter(candidates const& all, Predicate const& predicate) {
  candidates kept;
  std::ranges::copy_if(all, std::back_inserter(kept),
                       [&](known_endpoint const* one) { return predicate(*one); });
  return kept;
}

/// Returns the endpoints of the own zone that have capacity; if there are none, all that have
/// capacity; if there are none of these either, all.
candidates prefer_own_zone(candidates const& usable, choice_criteria const& criteria) {
  auto const is_near = [&](known_endpoint const& one) {
    return one.announcement.zone == criteria.own_zone;
  };
  auto near_with_room = filter(
      usable, [&](known_endpoint const& one) { return is_near(one) && has_room(one, criteria); });
  if (!near_with_room.empty()) {
    return near_with_room;
  }
  auto with_room =
      filter(usable, [&](known_endpoint const& one) { return has_room(one, criteria); });
  return with_room.empty() ? usable : with_room;
}

std::uint64_t rank_of(known_endpoint const& endpoint, std::uint64_t seed) {
  return base::stable_hash(endpoint.announcement.id.value, seed);
}

/// The estimated work before the first token of a request with a prompt.
std::uint64_t cost_of(known_endpoint const& endpoint, bool has_cached_prompt,
                      choice_criteria const& criteria) {
  auto cost = endpoint.pending_work() + running_cost * endpoint.load();
  cost += has_cached_prompt ? 0 : criteria.shared_work;
  cost += endpoint.announcement.zone == criteria.own_zone ? 0 : other_zone_cost;
  cost += has_room(endpoint, criteria) ? 0 : full_cost;
  return cost;
}

/// Whether the prompt is expected to be cached on this endpoint: the one that ranks highest in its
/// zone, on which all instances agree.
bool is_cache_owner(known_endpoint const& endpoint, candidates const& all, std::uint64_t seed) {
  auto const rank = rank_of(endpoint, seed);
  return std::ranges::none_of(all, [&](known_endpoint const* other) {
    return other->announcement.zone == endpoint.announcement.zone && rank_of(*other, seed) > rank;
  });
}

known_endpoint const* choose_for_prompt(candidates const& usable, choice_criteria const& criteria) {
  auto const seed = base::stable_hash(criteria.affinity);
  return *std::ranges::min_element(usable, {}, [&](known_endpoint const* one) {
    return std::pair(cost_of(*one, is_cache_owner(*one, usable, seed), criteria),
                     rank_of(*one, seed));
  });
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
  usable = prefer_own_zone(usable, criteria);
  return *std::ranges::min_element(usable, {}, [&](known_endpoint const* one) {
    return std::pair(one->load(), rank_of(*one, criteria.salt));
  });
}

} // namespace catkinlanding::proxy
