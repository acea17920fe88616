#include <libraries/rollouts/judgement.h>

#include <cmath>

namespace catkinlanding::rollouts {

namespace {

constexpr double permille = 0.001;
/// Number of standard deviations of the confidence interval.
constexpr double z_score = 2.0;

/// A binomial proportion.
struct share {
  std::uint64_t count = 0;
  std::uint64_t trials = 0;

  [[nodiscard]] double value() const {
    return trials == 0 ? 0.0 : static_cast<double>(count) / static_cast<double>(trials);
  }

  /// Lower bound of the Wilson score interval.
  [[nodiscard]] double lower_bound() const {
    if (trials == 0) {
      return 0.0;
    }
    auto const n = static_cast<double>(trials);
    double const p = value();
    double const z2 = z_score * z_score;
    double const centre = p + z2 / (2.0 * n);
    double const spread = z_score * std::sqrt(p * (1.0 - p) / n + z2 / (4.0 * n * n));
    return (centre - spread) / (1.0 + z2 / n);
  }
};

share bad_share(tally const& counts) {
  return {.count = counts.bad, .trials = counts.answers};
}

share poor_share(tally const& counts) {
  return {.count = counts.poor, .trials = counts.rated};
}

bool exceeds(share const& recent, share const& baseline, catalogue::rollout_bounds const& bounds) {
  return recent.count >= bounds.least_bad_answers &&
         recent.lower_bound() > baseline.value() + bounds.abort_excess_permille * permille;
}

} // namespace

bool allows_step(tally const& target, tally const& baseline,
                 catalogue::rollout_bounds const& bounds) {
  double const excess = bounds.step_excess_permille * permille;
  return target.answers >= bounds.least_answers &&
         bad_share(target).value() <= bad_share(baseline).value() + excess &&
         poor_share(target).value() <= poor_share(baseline).value() + excess;
}

bool is_worse(tally const& recent, tally const& baseline, catalogue::rollout_bounds const& bounds) {
  return exceeds(bad_share(recent), bad_share(baseline), bounds) ||
         exceeds(poor_share(recent), poor_share(baseline), bounds);
}

} // namespace catkinlanding::rollouts
