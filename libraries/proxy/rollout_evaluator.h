#pragma once

#include <libraries/proxy/rollout_evidence.h>
#include <libraries/proxy/rollout_order.h>
#include <libraries/proxy/version_comparison.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinlanding::proxy {

/// Decides on the progress of rollouts based on the statistics reported by all entry instances. Run
/// by the leader.
class rollout_evaluator {
public:
  struct options {
    /// The trial starts after this part of the rollout's duration, in thousandths. Sessions that
    /// began earlier may be moved from then on.
    std::int64_t trial_start_permille = 510;
    /// A healthy version receives all requests after this part of the duration, in thousandths, and
    /// only after its trial has lasted for min_trial_permille of the duration and produced
    /// min_answers answers. So late that a version whose fault shows under the full load only has
    /// received a small part of the requests by the end.
    std::int64_t promotion_permille = 900;
    std::int64_t min_trial_permille = 250;
    std::uint64_t min_answers = 15;
    /// It is accepted for good after this part of the duration, and only after it has received all
    /// requests for min_promotion_permille and given min_answers answers since.
    std::int64_t decision_permille = 957;
    std::int64_t min_promotion_permille = 50;
    comparison_bounds bounds;
    /// Number of bad or slow answers with which the target may seem worse, so that it is neither
    /// promoted nor accepted before there are more answers. A seldom used route may bring no more
    /// by then.
    std::uint64_t min_doubtful_answers = 3;
    /// Operators send an order again for at most this long after they sent it first.
    base::duration resend_timeout = std::chrono::seconds(5);
  };

  explicit rollout_evaluator(options options) : m_options(options) {}

  /// Records when this instance first saw the rollout and its current state.
  void note(rollout const& rollout, base::monotonic_time now);
  void note(std::vector<rollout> const& rollouts, base::monotonic_time now);
  /// Records that the service's latest rollout was ordered at this instance, just before it was
  /// noted. Other instances, and this one after a restart, may note a rollout long after that.
  void note_ordered_here(base::service_id const& service);
  void report(base::instance_id const& from, std::vector<version_tally> const& tallies,
              base::monotonic_time now);

  /// Returns the next state if the rollout is due to advance.
  [[nodiscard]] std::optional<rollout_state> next_state(rollout const& rollout,
                                                        base::monotonic_time now) const;
  /// The statistics of both versions as text, for the log.
  [[nodiscard]] std::string describe_evidence(rollout const& rollout) const;
  /// `latest` is the latest rollout of the service; nullptr if it had none.
  [[nodiscard]] rollout_order classify_start(base::version_id const& target, rollout const* latest,
                                             base::monotonic_time now) const;
  /// What `classify_start` decided and what that depends on, as text for the log: the latest
  /// rollout, and how long ago this instance saw it start and reach its state.
  [[nodiscard]] std::string describe_start(rollout_order order, base::version_id const& target,
                                           rollout const* latest, base::monotonic_time now) const;

private:
  /// What this instance knows about the latest rollout of a service.
  struct known_rollout {
    proxy::rollout rollout;
    base::monotonic_time started_at{};
    /// When the rollout reached its current state, as far as this instance knows.
    base::monotonic_time changed_at{};
    bool was_ordered_here = false;
    rollout_evidence evidence;
  };

  [[nodiscard]] known_rollout const* find(rollout const& rollout) const;
  /// A lower bound on the time since the rollout was ordered.
  [[nodiscard]] base::duration min_age(known_rollout const& known, base::monotonic_time now) const;
  /// The time that a rollout takes at least before it reaches this state.
  [[nodiscard]] base::duration min_time_until(rollout_state state, base::duration duration) const;
  [[nodiscard]] bool is_worse(known_rollout const& known, comparison_bounds const& bounds,
                              base::monotonic_time now) const;
  /// Whether the target seems worse by fewer answers than it is rolled back for.
  [[nodiscard]] bool is_doubtful(known_rollout const& known, base::monotonic_time now) const;
  /// What was reported since this time, compared with enough answers of the old version.
  [[nodiscard]] route_comparisons recent_evidence(known_rollout const& known,
                                                  base::monotonic_time since) const;
  [[nodiscard]] bool is_trial_over(known_rollout const& known, base::monotonic_time now) const;
  [[nodiscard]] bool is_accepted(known_rollout const& known, base::monotonic_time now) const;

  options m_options;
  std::map<base::service_id, known_rollout> m_rollouts;
};

} // namespace catkinlanding::proxy
