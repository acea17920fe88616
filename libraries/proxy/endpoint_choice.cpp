#include <libraries/base/hash.h>
#include <libraries/proxy/endpoint_choice.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

using candidates = std::vector<known_endpoint const*>;

/// What one more running request costs those beside it, in weighted prompt tokens.
constexpr std::uint64_t running_cost = 300;
/// What the way to another zone must save, in weighted prompt tokens: about a second of reading. A
/// link between zones that loses packets, or is cut, makes every stream on it late.
constexpr std::uint64_t other_zone_cost = 120'000;
/// An endpoint without a free slot serves the request only after others have ended.
constexpr std::uint64_t full_cost = 1'000'000;

bool is_avoided(known_endpoint const& endpoint, base::monotonic_time now) {
  return now < endpoint.avoided_until;
}

std::uint32_t slots_of(known_endpoint const& endpoint, choice_terms const& terms) {
  return endpoint.word.slots != 0 ? endpoint.word.slots : terms.slots;
}

bool has_room(known_endpoint const& endpoint, choice_terms const& terms) {
  auto const slots = slots_of(endpoint, terms);
  return slots == 0 || endpoint.load() < slots;
}

template<class Predicate>
candidates only(candidates const& all, Predicate const& predicate) {
  candidates kept;
  std::ranges::copy_if(all, std::back_inserter(kept),
                       [&](known_endpoint const* one) { return predicate(*one); });
  return kept;
}

/// Those of the own zone, unless none of them has room while others have.
candidates nearest(candidates const& usable, choice_terms const& terms) {
  auto const is_near = [&](known_endpoint const& one) { return one.word.zone == terms.own_zone; };
  auto near_with_room =
      only(usable, [&](known_endpoint const& one) { return is_near(one) && has_room(one, terms); });
  if (!near_with_room.empty()) {
    return near_with_room;
  }
  auto with_room = only(usable, [&](known_endpoint const& one) { return has_room(one, terms); });
  return with_room.empty() ? usable : with_room;
}

std::uint64_t rank_of(known_endpoint const& endpoint, std::uint64_t seed) {
  return base::stable_hash(endpoint.word.id.value, seed);
}

/// The work before the first token of a request with a prompt.
std::uint64_t cost_of(known_endpoint const& endpoint, bool keeps_prompt,
                      choice_terms const& terms) {
  auto cost = endpoint.unread() + running_cost * endpoint.load();
  cost += keeps_prompt ? 0 : terms.shared_work;
  cost += endpoint.word.zone == terms.own_zone ? 0 : other_zone_cost;
  cost += has_room(endpoint, terms) ? 0 : full_cost;
  return cost;
}

/// The endpoint of each zone that all instances take for the prompt's.
bool is_keeper(known_endpoint const& endpoint, candidates const& all, std::uint64_t seed) {
  auto const rank = rank_of(endpoint, seed);
  return std::ranges::none_of(all, [&](known_endpoint const* other) {
    return other->word.zone == endpoint.word.zone && rank_of(*other, seed) > rank;
  });
}

known_endpoint const* choose_for_prompt(candidates const& usable, choice_terms const& terms) {
  auto const seed = base::stable_hash(terms.affinity);
  return *std::ranges::min_element(usable, {}, [&](known_endpoint const* one) {
    return std::pair(cost_of(*one, is_keeper(*one, usable, seed), terms), rank_of(*one, seed));
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
                                      choice_terms const& terms, base::monotonic_time now) {
  if (all.empty()) {
    return nullptr;
  }
  auto usable = only(all, [&](known_endpoint const& one) { return !is_avoided(one, now); });
  if (usable.empty()) {
    // The one that failed least recently is the most likely to be back.
    return *std::ranges::min_element(all, {}, [](auto const* one) { return one->avoided_until; });
  }
  if (!terms.affinity.empty()) {
    return choose_for_prompt(usable, terms);
  }
  usable = nearest(usable, terms);
  return *std::ranges::min_element(usable, {}, [&](known_endpoint const* one) {
    return std::pair(one->load(), rank_of(*one, terms.salt));
  });
}

} // namespace catkinlanding::proxy
