#pragma once

#include <libraries/proxy/rollout_evidence.h>

namespace catkinlanding::proxy {

/// When the target of a rollout counts as worse than the old version.
struct comparison_bounds {
  /// Number of bad or slow answers before the target can count as worse.
  std::uint64_t min_bad_answers = 5;
  /// By how much the target's share of bad or slow answers must exceed the old version's with
  /// statistical confidence, in thousandths.
  std::uint32_t excess_permille = 80;
  /// Number of answers of the old version on a route by which the target can be judged.
  std::uint64_t min_baseline_answers = 12;
};

/// The sum over all routes.
[[nodiscard]] version_comparison pool(route_comparisons const& routes);

/// Returns the recent comparisons, with the old version's statistics of the whole rollout on routes
/// where it has answered too little lately.
[[nodiscard]] route_comparisons with_baseline(route_comparisons recent,
                                              route_comparisons const& total,
                                              comparison_bounds const& bounds);

/// Whether nothing in the target's share of bad or slow answers speaks against it: a weaker
/// requirement than that it is worse with confidence.
[[nodiscard]] bool is_target_sound(route_comparisons const& routes,
                                   comparison_bounds const& bounds);

/// Whether the target fails more often than the old version or is several times slower, on all
/// routes together or on one of them.
[[nodiscard]] bool is_target_worse(route_comparisons const& routes,
                                   comparison_bounds const& bounds);

} // namespace catkinlanding::proxy
