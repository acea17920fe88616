#include <libraries/base/hash.h>
#include <libraries/proxy/endpoint_choice.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

using candidates = std::vector<known_endpoint const*>;

/// How far above the mean an endpoint's load may be before it gives up its prompts.
constexpr double load_factor = 1.25;
constexpr double load_slack = 2.0;

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

double mean_load(candidates const& all) {
  double sum = 0.0;
  for (auto const* one : all) {
    sum += one->load();
  }
  return sum / static_cast<double>(all.size());
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
  usable = nearest(usable, terms);
  auto const seed = terms.affinity.empty() ? terms.salt : base::stable_hash(terms.affinity);
  if (!terms.affinity.empty()) {
    auto const bound = load_factor * mean_load(usable) + load_slack;
    auto const keepers =
        only(usable, [&](known_endpoint const& one) { return one.load() <= bound; });
    if (!keepers.empty()) {
      return *std::ranges::max_element(keepers, {},
                                       [&](auto const* one) { return rank_of(*one, seed); });
    }
  }
  return *std::ranges::min_element(
      usable, {}, [&](auto const* one) { return std::pair(one->load(), rank_of(*one, seed)); });
}

} // namespace catkinlanding::proxy
