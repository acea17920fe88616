#include <libraries/proxy/rollout_evaluator.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

constexpr std::int64_t permille = 1000;
/// A version that turned bad within this time is not accepted, although there may be too little
/// evidence yet to roll it back.
constexpr std::chrono::milliseconds latest_window{700};

base::duration part_of(base::duration duration, std::int64_t part) {
  return duration * part / permille;
}

std::string in_milliseconds(base::duration time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::string describe(answer_statistics const& statistics) {
  auto const median = [](time_histogram const& histogram) {
    return in_milliseconds(histogram.median());
  };
  return std::to_string(statistics.bad) + "/" + std::to_string(statistics.answers) + "/" +
         median(statistics.first_byte) + "/" + median(statistics.event_interval);
}

} // namespace

void rollout_evaluator::note(rollout const& rollout, base::monotonic_time now) {
  auto& known = m_rollouts[rollout.service];
  if (known.rollout.number != rollout.number) {
    known = {.rollout = rollout, .started_at = now, .changed_at = now, .evidence = {}};
  }
  if (known.rollout.state != rollout.state) {
    known.rollout = rollout;
    known.changed_at = now;
  }
}

void rollout_evaluator::note(std::vector<rollout> const& rollouts, base::monotonic_time now) {
  for (auto const& rollout : rollouts) {
    note(rollout, now);
  }
}

void rollout_evaluator::note_ordered_here(base::service_id const& service) {
  auto const known = m_rollouts.find(service);
  if (known != m_rollouts.end()) {
    known->second.was_ordered_here = true;
  }
}

void rollout_evaluator::report(base::instance_id const& from,
                               std::vector<version_tally> const& tallies,
                               base::monotonic_time now) {
  for (auto& [service, known] : m_rollouts) {
    if (known.rollout.is_running()) {
      known.evidence.report(from, known.rollout, tallies, now);
    }
  }
}

std::optional<rollout_state> rollout_evaluator::next_state(rollout const& rollout,
                                                           base::monotonic_time now) const {
  auto const* known = find(rollout);
  if (!rollout.is_running() || known == nullptr) {
    return std::nullopt;
  }
  if (is_worse(*known, m_options.bounds, now)) {
    return rollout_state::rolled_back;
  }
  switch (rollout.state) {
  case rollout_state::prepared: {
    auto const due = known->started_at + part_of(rollout.duration, m_options.trial_start_permille);
    return now >= due ? std::optional(rollout_state::on_trial) : std::nullopt;
  }
  case rollout_state::on_trial:
    return is_trial_over(*known, now) ? std::optional(rollout_state::promoted) : std::nullopt;
  case rollout_state::promoted:
    return is_accepted(*known, now) ? std::optional(rollout_state::succeeded) : std::nullopt;
  case rollout_state::succeeded:
  case rollout_state::rolled_back:
    return std::nullopt;
  }
  return std::nullopt;
}

bool rollout_evaluator::is_trial_over(known_rollout const& known, base::monotonic_time now) const {
  auto const& duration = known.rollout.duration;
  auto const answers = pool(known.evidence.total()).target.answers;
  return now >= known.started_at + part_of(duration, m_options.promotion_permille) &&
         now >= known.changed_at + part_of(duration, m_options.min_trial_permille) &&
         answers >= m_options.min_answers && !is_doubtful(known, now);
}

bool rollout_evaluator::is_accepted(known_rollout const& known, base::monotonic_time now) const {
  auto const& duration = known.rollout.duration;
  auto const answers = pool(known.evidence.since(known.changed_at)).target.answers;
  bool const is_due =
      now >= known.started_at + part_of(duration, m_options.decision_permille) &&
      now >= known.changed_at + part_of(duration, m_options.min_promotion_permille) &&
      answers >= m_options.min_answers;
  auto const latest_began = std::max(known.changed_at, now - latest_window);
  return is_due && !is_doubtful(known, now) &&
         is_target_sound(recent_evidence(known, latest_began), m_options.bounds);
}

bool rollout_evaluator::is_worse(known_rollout const& known, comparison_bounds const& bounds,
                                 base::monotonic_time now) const {
  auto const recent = recent_evidence(known, now - rollout_evidence::recent_window);
  return is_target_worse(known.evidence.total(), bounds) || is_target_worse(recent, bounds);
}

bool rollout_evaluator::is_doubtful(known_rollout const& known, base::monotonic_time now) const {
  auto bounds = m_options.bounds;
  bounds.min_bad_answers = m_options.min_doubtful_answers;
  return is_worse(known, bounds, now);
}

route_comparisons rollout_evaluator::recent_evidence(known_rollout const& known,
                                                     base::monotonic_time since) const {
  return with_baseline(known.evidence.since(since), known.evidence.total(), m_options.bounds);
}

std::string rollout_evaluator::describe_evidence(rollout const& rollout) const {
  auto const* known = find(rollout);
  std::string text;
  if (known != nullptr) {
    for (auto const& [route, comparison] : known->evidence.total()) {
      text += (text.empty() ? "" : ",") + route + ":target=" + describe(comparison.target) +
              ":old=" + describe(comparison.old);
    }
  }
  return text;
}

rollout_order rollout_evaluator::classify_start(base::version_id const& target,
                                                rollout const* latest,
                                                base::monotonic_time now) const {
  if (latest == nullptr) {
    return rollout_order::new_rollout;
  }
  bool const is_same = latest->target == target;
  if (latest->is_running()) {
    return is_same ? rollout_order::duplicate : rollout_order::conflict;
  }
  auto const* known = find(*latest);
  bool const is_too_old = known != nullptr && min_age(*known, now) >= m_options.resend_timeout;
  if (!is_same || is_too_old) {
    return rollout_order::new_rollout;
  }
  bool const is_age_known = known != nullptr && known->was_ordered_here;
  return is_age_known ? rollout_order::duplicate : rollout_order::undecided;
}

base::duration rollout_evaluator::min_age(known_rollout const& known,
                                          base::monotonic_time now) const {
  auto const before = min_time_until(known.rollout.state, known.rollout.duration);
  return std::max(now - known.started_at, before + (now - known.changed_at));
}

base::duration rollout_evaluator::min_time_until(rollout_state state,
                                                 base::duration duration) const {
  switch (state) {
  case rollout_state::prepared:
    return base::duration::zero();
  case rollout_state::on_trial:
  case rollout_state::rolled_back:
    // Only a version on trial gives answers by which it is rolled back.
    return part_of(duration, m_options.trial_start_permille);
  case rollout_state::promoted:
    return part_of(duration, m_options.promotion_permille);
  case rollout_state::succeeded:
    return part_of(duration, m_options.decision_permille);
  }
  return base::duration::zero();
}

std::string rollout_evaluator::describe_start(rollout_order order, base::version_id const& target,
                                              rollout const* latest,
                                              base::monotonic_time now) const {
  auto text = std::string(name_of(order)) + ",target=" + target.value;
  auto const* known = latest == nullptr ? nullptr : find(*latest);
  if (known == nullptr) {
    return text;
  }
  text += ",latest=" + latest->target.value + ",state=" + name_of(latest->state);
  text += ",started_ms=" + in_milliseconds(now - known->started_at);
  text += ",changed_ms=" + in_milliseconds(now - known->changed_at);
  text += ",min_age_ms=" + in_milliseconds(min_age(*known, now));
  return text + ",ordered_here=" + (known->was_ordered_here ? "1" : "0");
}

rollout_evaluator::known_rollout const* rollout_evaluator::find(rollout const& rollout) const {
  auto const found = m_rollouts.find(rollout.service);
  return found == m_rollouts.end() ? nullptr : &found->second;
}

} // namespace catkinlanding::proxy
