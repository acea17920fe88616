#pragma once

#include <libraries/proxy/rollout.h>

#include <map>
#include <optional>
#include <vector>

namespace catkinlanding::proxy {

/// Decides on rollouts from what all entry instances report. Kept by the leader.
class rollout_evaluator {
public:
  struct options {
    /// The trial begins at this part of the duration, in thousandths. Sessions that began before
    /// may be moved then.
    std::int64_t trial_start_permille = 510;
    /// The verdict on a sound version falls at this part of its duration, in thousandths, and not
    /// before its trial has lasted for a part and brought so many answers.
    std::int64_t decision_permille = 800;
    std::int64_t min_trial_permille = 250;
    std::uint64_t min_answers = 15;
    /// An operator is told of it at this part: until then answers under way at the old version's
    /// endpoints may end.
    std::int64_t report_permille = 920;
    /// Bad answers of the target before it can be judged worse.
    std::uint64_t min_bad_answers = 5;
    /// How far the target's share of bad answers must surely exceed the old version's, in
    /// thousandths.
    std::uint32_t excess_permille = 80;
    /// Answers of each side before their times are compared.
    std::uint64_t min_timed_answers = 12;
    /// How many times slower than the old version the target may be.
    double max_latency_ratio = 3.0;
  };

  explicit rollout_evaluator(options options) : m_options(options) {}

  /// The rollout runs since now, as far as this instance knows.
  void note(rollout const& rollout, base::monotonic_time now);
  void report(base::instance_id const& from, std::vector<version_tally> const& tallies);
  void forget(base::instance_id const& instance) { m_tallies.erase(instance); }

  /// The state that the rollout should have next, once it is time.
  [[nodiscard]] std::optional<rollout_state> next_state(rollout const& rollout,
                                                        base::monotonic_time now) const;
  /// The state of a rollout as operators should see it: they stop the old version's endpoints once
  /// it has succeeded.
  [[nodiscard]] rollout_state reported_state(rollout const& rollout,
                                             base::monotonic_time now) const;
  /// Whether the rollout ended less than this long ago.
  [[nodiscard]] bool ended_within(rollout const& rollout, base::duration window,
                                  base::monotonic_time now) const;

private:
  struct rollout_times {
    std::uint64_t number = 0;
    base::monotonic_time started_at{};
    base::monotonic_time changed_at{};
    rollout_state state = rollout_state::prepared;
  };

  /// The answers of both versions, as all instances reported them.
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
