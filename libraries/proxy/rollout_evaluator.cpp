#include <libraries/proxy/rollout_evaluator.h>
#include <libraries/rollouts/judgement.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

constexpr std::int64_t permille = 1000;

double mean_of(version_tally const& tally) {
  auto const good = tally.answers - std::min(tally.answers, tally.bad);
  return good == 0 ? 0.0 : static_cast<double>(tally.milliseconds) / static_cast<double>(good);
}

void add(version_tally& sum, version_tally const& one) {
  sum.answers += one.answers;
  sum.bad += one.bad;
  sum.milliseconds += one.milliseconds;
}

rollouts::tally as_tally(version_tally const& tally) {
  rollouts::tally converted;
  converted.answers = tally.answers;
  converted.bad = tally.bad;
  return converted;
}

std::string describe(version_tally const& tally) {
  return std::to_string(tally.bad) + "/" + std::to_string(tally.answers) + "/" +
         std::to_string(static_cast<std::int64_t>(mean_of(tally)));
}

} // namespace

void rollout_evaluator::note(rollout const& rollout, base::monotonic_time now) {
  auto& known = m_times[rollout.service];
  if (known.number != rollout.number) {
    known = {
        .number = rollout.number, .started_at = now, .changed_at = now, .state = rollout.state};
  }
  if (known.state != rollout.state) {
    known.state = rollout.state;
    known.changed_at = now;
  }
}

void rollout_evaluator::report(base::instance_id const& from,
                               std::vector<version_tally> const& tallies) {
  m_tallies[from] = tallies;
}

std::optional<rollout_state> rollout_evaluator::next_state(rollout const& rollout,
                                                           base::monotonic_time now) const {
  auto const known = m_times.find(rollout.service);
  if (!rollout.is_running() || known == m_times.end()) {
    return std::nullopt;
  }
  auto const totals = totals_for(rollout);
  if (is_worse(totals)) {
    return rollout_state::rolled_back;
  }
  auto const has_passed = [&](base::monotonic_time since, std::int64_t part) {
    return now >= since + rollout.duration * part / permille;
  };
  auto const& rollout_times = known->second;
  if (rollout.state == rollout_state::prepared) {
    bool const is_due = has_passed(rollout_times.started_at, m_options.trial_start_permille);
    return is_due ? std::optional(rollout_state::on_trial) : std::nullopt;
  }
  bool const is_tried = has_passed(rollout_times.changed_at, m_options.min_trial_permille) &&
                        totals.target.answers >= m_options.min_answers;
  bool const is_due = has_passed(rollout_times.started_at, m_options.decision_permille);
  return is_tried && is_due ? std::optional(rollout_state::succeeded) : std::nullopt;
}

rollout_state rollout_evaluator::reported_state(rollout const& rollout,
                                                base::monotonic_time now) const {
  auto const known = m_times.find(rollout.service);
  if (rollout.state != rollout_state::succeeded || known == m_times.end()) {
    return rollout.state;
  }
  auto const pause =
      rollout.duration * (m_options.report_permille - m_options.decision_permille) / permille;
  return now >= known->second.changed_at + pause ? rollout.state : rollout_state::on_trial;
}

bool rollout_evaluator::ended_within(rollout const& rollout, base::duration window,
                                     base::monotonic_time now) const {
  auto const known = m_times.find(rollout.service);
  return !rollout.is_running() && known != m_times.end() && now < known->second.changed_at + window;
}

std::string rollout_evaluator::describe_evidence(rollout const& rollout) const {
  auto const totals = totals_for(rollout);
  return "target=" + describe(totals.target) + ",old=" + describe(totals.old);
}

rollout_evaluator::version_totals rollout_evaluator::totals_for(rollout const& rollout) const {
  version_totals totals;
  for (auto const& [instance, tallies] : m_tallies) {
    for (auto const& tally : tallies) {
      if (tally.service == rollout.service && tally.rollout == rollout.number) {
        add(tally.version == rollout.target ? totals.target : totals.old, tally);
      }
    }
  }
  return totals;
}

bool rollout_evaluator::is_worse(version_totals const& totals) const {
  auto const& candidate = totals.target;
  auto const& old = totals.old;
  catalogue::rollout_bounds bounds;
  bounds.least_bad_answers =
      static_cast<decltype(bounds.least_bad_answers)>(m_options.min_bad_answers);
  bounds.abort_excess_permille = m_options.excess_permille;
  if (rollouts::is_worse(as_tally(candidate), as_tally(old), bounds)) {
    return true;
  }
  bool const is_timed = candidate.answers >= m_options.min_timed_answers &&
                        old.answers >= m_options.min_timed_answers;
  return is_timed && mean_of(candidate) > m_options.max_latency_ratio * mean_of(old);
}

} // namespace catkinlanding::proxy
