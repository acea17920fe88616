#pragma once

#include <libraries/rollouts/message.h>
#include <libraries/routing/breaker.h>
#include <libraries/routing/endpoint_windows.h>
#include <libraries/routing/policy.h>
#include <libraries/routing/quality_estimates.h>

namespace catkinlanding::routing {

/// The production routing policy: picks the cheapest arm whose estimated quality meets the target
/// and that has an endpoint with free capacity, and avoids versions whose breaker is open. An arm
/// is a single version, or a cheap one that escalates to a better one when its answer is judged
/// poor.
class chooser final : public policy {
public:
  struct options {
    std::uint64_t seed = 0;
    /// The other entry instances of the zone, with which this one shares the endpoints.
    std::vector<base::instance_id> zone_peers;
    /// Share of requests that may explore an arm not yet known to meet the target.
    double exploration_rate = 0.08;
    /// Share of answers that are rated after delivery.
    double rating_sample_rate = 0.1;
    /// Maximum share of traffic for a version on trial that has fewer ratings than
    /// `sufficient_evidence`.
    std::uint32_t low_evidence_exposure_permille = 50;
    double sufficient_evidence = 30.0;
    /// An arm whose catalogue prior meets the target stays in use until its estimate is this many
    /// standard deviations below the target. Any other arm must reach the target itself.
    double tolerated_deviations = 0.7;
    /// Assumed accuracy of the inline judge, the rating service that judges answers before they are
    /// delivered, until its pass rate has been observed.
    double judge_accuracy_prior = 0.85;
    base::duration evidence_interval = std::chrono::seconds(1);
    /// Number of peers that new evidence is sent to at each interval.
    std::size_t evidence_fan_out = 8;
    quality_estimates::options quality;
    routing::breaker::options breaker;
    endpoint_windows::options windows;
  };

  explicit chooser(options options);

  /// Replaces the list of the zone's other entry instances.
  void follow_zone(std::vector<base::instance_id> peers);

  [[nodiscard]] tl::expected<choice, choice_error> choose(version_query const& query,
                                                          routing_context const& routing_context,
                                                          base::monotonic_time now) override;

  [[nodiscard]] tl::expected<base::endpoint_id, choice_error> choose_service_endpoint(
      base::service_id const& service, std::set<base::endpoint_id> const& excluded,
      routing_context const& routing_context, base::monotonic_time now) override;

  void observe(attempt_result const& result, base::monotonic_time now) override;
  void observe(rating const& rating, base::monotonic_time now) override;
  void observe_judgement(base::model_id const& model, base::version_id const& version,
                         base::class_id const& request_class, bool is_poor,
                         base::monotonic_time now) override;
  void receive(message const& message, base::monotonic_time now) override;
  void tick(base::monotonic_time now, effects& out) override;

  /// Number of arms with ratings.
  [[nodiscard]] std::size_t known_arms() const { return m_quality.size(); }

  [[nodiscard]] bool is_suspended(base::model_id const& model,
                                  base::version_id const& version) const;

  /// Counts of the answers of each version since the start of this instance.
  [[nodiscard]] rollouts::tallies const& answers() const { return m_answers; }

private:
  using version_key = std::pair<base::model_id, base::version_id>;

  /// State of one version other than its ratings.
  struct version_state {
    explicit version_state(routing::breaker::options options) : breaker(options) {}

    routing::breaker breaker;
    /// Catalogue values for which the evidence was gathered; a change discards the evidence.
    std::uint64_t price = 0;
    double prior = 0.0;
    /// Smoothed time per token; zero before the first answer.
    double seconds_per_token = 0.0;
  };

  /// An arm that is eligible for the query.
  struct candidate {
    routing::arm arm;
    double price = 0.0;
    double quality = 0.0;
    double prior = 0.0;
    bool meets_target = false;
    /// Picked for exploration although it is not known to meet the target.
    bool is_explored = false;
  };

  using versions = std::vector<catalogue::version const*>;

  /// Chooses among the arms that no breaker holds back, or makes a probe.
  [[nodiscard]] tl::expected<choice, choice_error>
  choose_unsuspended(version_query const& query, std::vector<candidate> const& candidates,
                     routing_context const& routing_context, base::monotonic_time now);
  /// Chooses among the arms that are held back for their slowness alone.
  [[nodiscard]] tl::expected<choice, choice_error>
  choose_slow(version_query const& query, std::vector<candidate> const& candidates,
              routing_context const& routing_context, base::monotonic_time now);
  /// Chooses an endpoint for the first version of the arm.
  [[nodiscard]] tl::expected<choice, choice_error>
  choose_endpoint(version_query const& query, candidate const& candidate,
                  routing_context const& routing_context, base::monotonic_time now);
  [[nodiscard]] versions usable_versions(version_query const& query,
                                         routing_context const& routing_context,
                                         base::monotonic_time now);
  [[nodiscard]] std::vector<candidate>
  ranked_candidates(version_query const& query, versions const& usable, base::monotonic_time now);
  [[nodiscard]] candidate single_version(version_query const& query,
                                         catalogue::version const& version,
                                         base::monotonic_time now) const;
  [[nodiscard]] candidate escalation(version_query const& query, candidate const& first,
                                     candidate const& second, base::monotonic_time now) const;
  [[nodiscard]] bool passes_exposure(version_query const& query, catalogue::version const& version,
                                     base::monotonic_time now);
  /// Discards the evidence on a version whose price or quality prior changed in the catalogue.
  version_state& sync_with_catalogue(catalogue::version const& version);
  [[nodiscard]] version_state& state_of(version_key const& key);
  void apply(rating_counts const& counts, base::monotonic_time now);
  void apply(outcome_counts const& counts, base::monotonic_time now);
  [[nodiscard]] bool is_slow(version_state& state, attempt_result const& result) const;
  [[nodiscard]] double uniform();
  void count(version_key const& key, rollouts::tally const& increment);

  options m_options;
  base::random_generator m_random;
  quality_estimates m_quality;
  /// Share of first answers that the inline judge accepts.
  quality_estimates m_pass_rates;
  endpoint_windows m_windows;
  std::map<version_key, version_state> m_versions;
  std::map<quality_estimates::key, rating_counts> m_unsent_ratings;
  std::map<version_key, outcome_counts> m_unsent_outcomes;
  rollouts::tallies m_answers;
  base::monotonic_time m_evidence_due{};
};

} // namespace catkinlanding::routing
