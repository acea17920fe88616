#pragma once

#include <libraries/base/random.h>
#include <libraries/routing/policy.h>

#include <map>

namespace catkinlanding::routing {

/// One way to answer a request, in the sense of a multi-armed bandit: a single version, or a cheap
/// one that escalates to a better one when its answer is judged poor.
struct arm {
  base::version_id first;
  /// Empty for a single version.
  base::version_id second;

  auto operator<=>(arm const&) const = default;
};

/// Estimates the share of good answers of each arm per request class from ratings. The state is
/// bounded: the least recently rated arms are evicted first.
class quality_estimates {
public:
  struct options {
    /// Weight of the catalogue's prior, in ratings.
    double prior_weight = 40.0;
    /// Time after which the weight of a rating has halved.
    base::duration half_life = std::chrono::minutes(30);
    std::size_t max_arms = 4096;
  };

  struct key {
    base::model_id model;
    base::class_id request_class;
    routing::arm arm;

    auto operator<=>(key const&) const = default;
  };

  explicit quality_estimates(options options) : m_options(options) {}

  void add(key const& key, double good, double poor, base::monotonic_time now);

  /// Discards the ratings of every arm that includes the version.
  void forget(base::model_id const& model, base::version_id const& version);

  /// The expected share of good answers.
  [[nodiscard]] double mean(key const& key, double prior, base::monotonic_time now) const;

  /// Standard deviation of the estimate.
  [[nodiscard]] double deviation(key const& key, double prior, base::monotonic_time now) const;

  /// Draws from the posterior distribution of the share (Thompson sampling).
  [[nodiscard]] double sample(key const& key, double prior, base::monotonic_time now,
                              base::random_generator& random) const;

  /// Decayed number of ratings behind the estimate, without the prior.
  [[nodiscard]] double evidence(key const& key, base::monotonic_time now) const;

  [[nodiscard]] std::size_t size() const { return m_counts.size(); }

private:
  struct counts {
    double good = 0.0;
    double poor = 0.0;
    base::monotonic_time at{};
  };

  [[nodiscard]] counts counts_of(key const& key, base::monotonic_time now) const;

  options m_options;
  std::map<key, counts> m_counts;
};

} // namespace catkinlanding::routing
