#pragma once

#include <libraries/proxy/rollout.h>

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
    /// A healthy version is accepted after this part of the duration, in thousandths, and only
    /// after its trial has lasted for min_trial_permille of the duration and produced min_answers
    /// answers.
    std::int64_t decision_permille = 800;
    std::int64_t min_trial_permille = 250;
    std::uint64_t min_answers = 15;
    /// Success is reported to operators after this part of the duration, so that answers in
    /// progress on the old version's endpoints can complete first.
    std::int64_t report_permille = 920;
    /// Number of bad answers before the target can be considered worse.
    std::uint64_t min_bad_answers = 5;
    /// By how much the target's share of bad answers must exceed the old version's with statistical
    /// confidence, in thousandths.
    std::uint32_t excess_permille = 80;
    /// Number of answers from each version before their latencies are compared.
    std::uint64_t min_timed_answers = 12;
    /// How many times higher than the old version's the target's mean latency may be.
    double max_latency_ratio = 3.0;
  };

  explicit rollout_evaluator(options options) : m_options(options) {}

  /// Records when this instance first saw the rollout and its current state.
  void note(rollout const& rollout, base::monotonic_time now);
  void report(base::instance_id const& from, std::vector<version_tally> const& tallies);
  void forget(base::instance_id const& instance) { m_tallies.erase(instance); }

  /// Returns the next state if the rollout is due to advance.
  [[nodiscard]] std::optional<rollout_state> next_state(rollout const& rollout,
                                                        base::monotonic_time now) const;
  /// The state to report to operators, who shut down the old version's endpoints once it is
  /// `succeeded`.
  [[nodiscard]] rollout_state reported_state(rollout const& rollout,
                                             base::monotonic_time now) const;
  /// The statistics of both versions as text, for the log.
  [[nodiscard]] std::string describe_evidence(rollout const& rollout) const;
  /// Whether the rollout ended less than `window` ago.
  [[nodiscard]] bool ended_within(rollout const& rollout, base::duration window,
                                  base::monotonic_time now) const;

private:
  struct rollout_times {
    std::uint64_t number = 0;
    base::monotonic_time started_at{};
    base::monotonic_time changed_at{};
    rollout_state state = rollout_state::prepared;
  };

  /// The statistics of both versions, summed over all instances.
  struct version_totals {
    version_tally target;
    version_tally old;
  };

  [[nodiscard]] version_totals totals_for(rollout const& rollout) const;
  [[nodiscard]] bool is_worse(version_totals const& totals) const;

  options m_options;
  std::map<base::service_id, rollout_times> m_times;
  std::map<base::instance_id, std::vector<version_tally>> m_tallies;
};

} // namespace catkinlanding::proxy
