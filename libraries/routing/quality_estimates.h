#pragma once

#include <libraries/base/random.h>
#include <libraries/routing/policy.h>

#include <map>

namespace catkinlanding::routing {

/// One way to answer a request: by one version, or by a cheap one whose poor answers are asked for
/// again from a better one.
struct arm {
  base::version_id first;
  /// Empty where nothing follows a poor answer.
  base::version_id second;

  auto operator<=>(arm const&) const = default;
};

/// What ratings say of how good the answers of each arm are, for each class of work. The state is
/// bounded: the arms that were heard of least lately are forgotten first.
class quality_estimates {
public:
  struct options {
    /// The catalogue's prior counts as this many ratings.
    double prior_weight = 40.0;
    /// Evidence counts half as much after this time.
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

  /// Forgets what was learned of the version: it has changed.
  void forget(base::model_id const& model, base::version_id const& version);

  /// The expected share of good answers.
  [[nodiscard]] double mean(key const& key, double prior, base::monotonic_time now) const;

  /// How uncertain the mean is, as a standard deviation.
  [[nodiscard]] double deviation(key const& key, double prior, base::monotonic_time now) const;

  /// A share drawn from what is believed, for exploration.
  [[nodiscard]] double sample(key const& key, double prior, base::monotonic_time now,
                              base::random_generator& random) const;

  /// Ratings that the estimate rests on, the prior left out.
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
