#include <libraries/proxy/version_comparison.h>
#include <libraries/rollouts/judgement.h>

#include <algorithm>
#include <array>

namespace catkinlanding::proxy {

namespace {

/// An answer of the target counts as slow if it took so many times as long as a threshold at which
/// the old version's answers count as slow. The time to a stream's first byte also grows with
/// prompts that are not cached yet; the pace of a stream does not.
constexpr std::size_t slow_buckets = 1 * time_histogram::buckets_per_doubling;
constexpr std::size_t slow_stream_start_buckets = 2 * time_histogram::buckets_per_doubling;
/// The thresholds are the times that one in so many of the old version's answers exceeds. A version
/// of which few answers are slow differs at the high ones, one that is slow throughout at the low
/// ones.
constexpr std::array<std::uint64_t, 3> threshold_divisors{2, 4, 10};
constexpr double permille = 0.001;

/// The answers of both versions, and how many of them are bad or slow.
struct answer_counts {
  rollouts::tally target;
  rollouts::tally old;
};

rollouts::tally as_tally(std::uint64_t bad, std::uint64_t answers) {
  rollouts::tally converted;
  converted.answers = answers;
  converted.bad = bad;
  return converted;
}

bool exceeds(rollouts::tally const& target, rollouts::tally const& old,
             comparison_bounds const& bounds) {
  catalogue::rollout_bounds converted;
  converted.least_bad_answers =
      static_cast<decltype(converted.least_bad_answers)>(bounds.min_bad_answers);
  converted.abort_excess_permille = bounds.excess_permille;
  return rollouts::is_worse(target, old, converted);
}

/// Like exceeds(), without confidence: a single comparison of the shares.
bool may_exceed(rollouts::tally const& target, rollouts::tally const& old,
                comparison_bounds const& bounds) {
  auto const share = [](rollouts::tally const& tally) {
    return tally.answers == 0 ? 0.0
                              : static_cast<double>(tally.bad) / static_cast<double>(tally.answers);
  };
  return share(target) > share(old) + bounds.excess_permille * permille;
}

/// Counts the answers above the threshold that one in `divisor` of the old version's exceeds; for
/// the target, above the threshold moved up by `buckets_above`.
answer_counts count_slow(time_histogram const& target, time_histogram const& old,
                         std::uint64_t divisor, std::size_t buckets_above) {
  std::size_t bucket = 0;
  while (old.count_from(bucket) * divisor > old.count()) {
    ++bucket;
  }
  return {.target = as_tally(target.count_from(bucket + buckets_above), target.count()),
          .old = as_tally(old.count_from(bucket), old.count())};
}

/// A property by which the versions are compared on one route.
using measure = answer_counts (*)(version_comparison const&, std::uint64_t divisor,
                                  comparison_bounds const&);

answer_counts count_failures(version_comparison const& comparison, std::uint64_t /*divisor*/,
                             comparison_bounds const& /*bounds*/) {
  auto const& [target, old] = comparison;
  return {.target = as_tally(target.bad, target.answers), .old = as_tally(old.bad, old.answers)};
}

answer_counts count_slow_streams(version_comparison const& comparison, std::uint64_t divisor,
                                 comparison_bounds const& bounds) {
  auto const& target = comparison.target.event_interval;
  auto const& old = comparison.old.event_interval;
  bool const has_baseline = old.count() >= bounds.min_baseline_answers;
  return has_baseline ? count_slow(target, old, divisor, slow_buckets) : answer_counts{};
}

answer_counts count_late_answers(version_comparison const& comparison, std::uint64_t divisor,
                                 comparison_bounds const& bounds) {
  auto const& target = comparison.target.first_byte;
  auto const& old = comparison.old.first_byte;
  if (old.count() < bounds.min_baseline_answers) {
    return {};
  }
  bool const is_stream = comparison.old.event_interval.count() > 0;
  return count_slow(target, old, divisor, is_stream ? slow_stream_start_buckets : slow_buckets);
}

constexpr std::array<measure, 3> measures{count_failures, count_slow_streams, count_late_answers};

using criterion = bool (*)(rollouts::tally const& target, rollouts::tally const& old,
                           comparison_bounds const& bounds);

/// Whether the criterion holds for the measure on all routes together or, with `is_each_route`, on
/// one of them.
bool holds(route_comparisons const& routes, measure count, std::uint64_t divisor, criterion applies,
           bool is_each_route, comparison_bounds const& bounds) {
  answer_counts sum;
  for (auto const& [route, comparison] : routes) {
    auto const counts = count(comparison, divisor, bounds);
    if (is_each_route && applies(counts.target, counts.old, bounds)) {
      return true;
    }
    sum.target.answers += counts.target.answers;
    sum.target.bad += counts.target.bad;
    sum.old.answers += counts.old.answers;
    sum.old.bad += counts.old.bad;
  }
  return applies(sum.target, sum.old, bounds);
}

bool holds_for_any_measure(route_comparisons const& routes, criterion applies, bool is_each_route,
                           comparison_bounds const& bounds) {
  return std::ranges::any_of(measures, [&](measure count) {
    return std::ranges::any_of(threshold_divisors, [&](std::uint64_t divisor) {
      return holds(routes, count, divisor, applies, is_each_route, bounds);
    });
  });
}

} // namespace

version_comparison pool(route_comparisons const& routes) {
  version_comparison sum;
  for (auto const& [route, comparison] : routes) {
    sum += comparison;
  }
  return sum;
}

route_comparisons with_baseline(route_comparisons recent, route_comparisons const& total,
                                comparison_bounds const& bounds) {
  for (auto& [route, comparison] : recent) {
    auto const whole = total.find(route);
    if (comparison.old.answers < bounds.min_baseline_answers && whole != total.end()) {
      comparison.old = whole->second.old;
    }
  }
  return recent;
}

bool is_target_sound(route_comparisons const& routes, comparison_bounds const& bounds) {
  // A single route has too few answers for a comparison without confidence.
  return !holds_for_any_measure(routes, may_exceed, false, bounds);
}

bool is_target_worse(route_comparisons const& routes, comparison_bounds const& bounds) {
  return holds_for_any_measure(routes, exceeds, true, bounds);
}

} // namespace catkinlanding::proxy
