#include <libraries/catalogue/rollout.h>

#include <algorithm>

namespace catkinlanding::catalogue {

namespace {

constexpr std::uint32_t whole_permille = 1000;
constexpr std::size_t most_steps = 100;

/// The roll-out without what changes while it runs.
rollout plan_of(rollout value) {
  value.state = rollout_state::running;
  value.reason = rollout_reason::none;
  value.steps_taken = 0;
  value.step_began_at = {};
  return value;
}

bool is_start(rollout const& value) {
  return value.state == rollout_state::running && value.steps_taken == 0 &&
         value.step_began_at == base::duration::zero() && is_valid_plan(value);
}

bool is_next_step(rollout const& before, rollout const& after) {
  return before.state == rollout_state::running && after.state == rollout_state::running &&
         after.steps_taken == before.steps_taken + 1 && after.steps_taken <= after.steps.size() &&
         after.step_began_at >= before.step_began_at;
}

bool is_legal_state_change(rollout const& before, rollout_state after) {
  switch (after) {
  case rollout_state::running:
  case rollout_state::paused:
  case rollout_state::aborted:
    return true;
  case rollout_state::done:
    return before.state == rollout_state::running && before.steps_taken == before.steps.size();
  }
  return false;
}

} // namespace

bool is_active(rollout const& rollout) {
  return rollout.state == rollout_state::running || rollout.state == rollout_state::paused;
}

std::uint32_t exposure_of(rollout const& rollout) {
  return rollout.steps_taken == 0 ? 0 : rollout.steps[rollout.steps_taken - 1].exposure_permille;
}

bool is_valid_plan(rollout const& rollout) {
  auto const& steps = rollout.steps;
  if (steps.empty() || steps.size() > most_steps || rollout.id.empty() ||
      rollout.old_version == rollout.version) {
    return false;
  }
  bool const grows = std::ranges::adjacent_find(steps, std::ranges::greater_equal{},
                                                &rollout_step::exposure_permille) == steps.end();
  auto const is_possible = [](rollout_step const& step) {
    return step.exposure_permille > 0 && step.exposure_permille <= whole_permille &&
           step.least_duration.count() >= 0;
  };
  auto const& bounds = rollout.bounds;
  return grows && std::ranges::all_of(steps, is_possible) && bounds.least_answers > 0 &&
         bounds.least_bad_answers > 0 &&
         bounds.step_excess_permille < bounds.abort_excess_permille &&
         bounds.abort_excess_permille < whole_permille;
}

bool is_legal_transition(rollout const* before, rollout const& after) {
  if (before == nullptr) {
    return is_start(after);
  }
  if (*before == after) {
    return true;
  }
  if (!is_active(*before)) {
    return is_start(after) && after.id != before->id;
  }
  if (plan_of(*before) != plan_of(after)) {
    return false;
  }
  bool const keeps_step =
      after.steps_taken == before->steps_taken && after.step_began_at == before->step_began_at;
  return keeps_step ? is_legal_state_change(*before, after.state) : is_next_step(*before, after);
}

} // namespace catkinlanding::catalogue
