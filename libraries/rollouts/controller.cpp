#include <libraries/base/verify.h>
#include <libraries/rollouts/controller.h>
#include <libraries/rollouts/judgement.h>

#include <algorithm>

namespace catkinlanding::rollouts {

namespace {

constexpr char const* author = "control";
constexpr std::uint32_t whole_permille = 1000;

using catalogue::rollout;
using catalogue::rollout_reason;
using catalogue::rollout_state;

rollout with_state(rollout value, rollout_state state, rollout_reason reason) {
  value.state = state;
  value.reason = reason;
  return value;
}

rollout with_next_step(rollout value, base::duration clock) {
  if (value.steps_taken == value.steps.size()) {
    return with_state(std::move(value), rollout_state::done, rollout_reason::none);
  }
  ++value.steps_taken;
  value.step_began_at = clock;
  return value;
}

void update_exposure(catalogue::version& version, rollout const& rollout) {
  version.exposure_permille = exposure_of(rollout);
  version.standing = catalogue::standing::trial;
  if (rollout.state == rollout_state::aborted) {
    version.exposure_permille = 0;
    version.standing =
        rollout.withdraws_on_abort ? catalogue::standing::withdrawn : catalogue::standing::trial;
  }
  bool const is_whole = version.exposure_permille == whole_permille;
  if (rollout.state == rollout_state::done && is_whole) {
    version.standing = catalogue::standing::settled;
  }
}

} // namespace

catalogue::change make_rollout_change(catalogue::document const& document, rollout after) {
  auto const* known = document.find_version(after.model, after.version);
  CATKINLANDING_VERIFY(known != nullptr);
  catalogue::change change;
  change.base_revision = document.revision();
  change.author = author;
  change.id = {"control/rollout/" + after.model.value + "/" + std::to_string(document.revision())};
  bool const is_withdrawn = known->standing == catalogue::standing::withdrawn;
  bool const is_aborted = after.state == rollout_state::aborted;
  // A pause leaves the exposure as it is, and a version withdrawn by an operator stays withdrawn.
  if (after.state != rollout_state::paused && !(is_withdrawn && is_aborted)) {
    auto version = *known;
    update_exposure(version, after);
    change.upserts.emplace_back(std::move(version));
  }
  change.upserts.emplace_back(std::move(after));
  return change;
}

std::vector<version_key> watched_versions(catalogue::document const& document) {
  std::vector<version_key> versions;
  for (auto const& [model, rollout] : document.rollouts()) {
    if (!is_active(rollout)) {
      continue;
    }
    versions.emplace_back(model, rollout.version);
    if (rollout.old_version) {
      versions.emplace_back(model, *rollout.old_version);
    }
  }
  return versions;
}

controller::controller(options options, base::duration clock, base::monotonic_time now)
    : m_options(options), m_clock(clock), m_since(now) {}

std::optional<catalogue::change> controller::propose(catalogue::document const& document,
                                                     collector const& evidence,
                                                     base::monotonic_time now) {
  advance_clock(document, now);
  std::erase_if(m_progress, [&](auto const& item) {
    auto const* rollout = document.find_rollout(item.first);
    return rollout == nullptr || !is_active(*rollout);
  });
  std::optional<catalogue::change> change;
  for (auto const& [model, rollout] : document.rollouts()) {
    // `decide` tracks the rollout, so it runs for all of them although only one change is returned.
    auto wanted = is_active(rollout) ? decide(document, rollout, evidence, now) : std::nullopt;
    if (!change) {
      change = std::move(wanted);
    }
  }
  bool const is_pending =
      m_proposed && m_proposed->revision == document.revision() && now < m_proposed->due;
  if (!change || is_pending) {
    return std::nullopt;
  }
  auto candidate = document;
  candidate.apply(*change);
  CATKINLANDING_VERIFY(!illegal_rollout(document, candidate));
  m_proposed = {.revision = document.revision(), .due = now + m_options.proposal_timeout};
  return change;
}

base::duration controller::clock(base::monotonic_time now) const {
  return m_clock + (now - m_since);
}

void controller::advance_clock(catalogue::document const& document, base::monotonic_time now) {
  for (auto const& [model, rollout] : document.rollouts()) {
    // The previous leader's clock may have been ahead of what the log showed at the election.
    m_clock += std::max(rollout.step_began_at - clock(now), base::duration::zero());
  }
}

controller::rollout_progress& controller::track(rollout const& rollout, sample const& current) {
  auto [it, is_new] = m_progress.try_emplace(rollout.model);
  auto& rollout_progress = it->second;
  bool const is_new_rollout = is_new || rollout_progress.id != rollout.id;
  if (is_new_rollout) {
    rollout_progress.recent_samples = {current, current};
  }
  if (is_new_rollout || rollout_progress.steps_taken != rollout.steps_taken ||
      rollout_progress.state != rollout.state) {
    rollout_progress.step_start = current;
  }
  rollout_progress.id = rollout.id;
  rollout_progress.steps_taken = rollout.steps_taken;
  rollout_progress.state = rollout.state;
  if (current.at >= rollout_progress.recent_samples[1].at + m_options.recent_window) {
    rollout_progress.recent_samples = {rollout_progress.recent_samples[1], current};
  }
  return rollout_progress;
}

std::optional<catalogue::change> controller::decide(catalogue::document const& document,
                                                    rollout const& rollout,
                                                    collector const& evidence,
                                                    base::monotonic_time now) {
  sample const current{.target = evidence.total({rollout.model, rollout.version}),
                       .baseline = rollout.old_version
                                       ? evidence.total({rollout.model, *rollout.old_version})
                                       : tally{},
                       .at = now};
  auto const& rollout_progress = track(rollout, current);
  auto const* version = document.find_version(rollout.model, rollout.version);
  CATKINLANDING_VERIFY(version != nullptr);
  if (version->standing == catalogue::standing::withdrawn) {
    return make_rollout_change(
        document, with_state(rollout, rollout_state::aborted, rollout_reason::overridden));
  }
  if (!follows(*version, rollout)) {
    if (rollout.state == rollout_state::paused) {
      return std::nullopt;
    }
    return make_rollout_change(
        document, with_state(rollout, rollout_state::paused, rollout_reason::overridden));
  }
  auto const& before = rollout_progress.recent_samples[0];
  if (is_worse(difference(current.target, before.target),
               difference(current.baseline, before.baseline), rollout.bounds)) {
    return make_rollout_change(
        document, with_state(rollout, rollout_state::aborted, rollout_reason::turned_worse));
  }
  if (can_step(rollout, rollout_progress, current)) {
    return make_rollout_change(document, with_next_step(rollout, clock(now)));
  }
  return std::nullopt;
}

bool controller::can_step(rollout const& rollout, rollout_progress const& rollout_progress,
                          sample const& current) const {
  if (rollout.state != rollout_state::running) {
    return false;
  }
  if (rollout.steps_taken == 0) {
    return true;
  }
  auto const& step = rollout.steps[rollout.steps_taken - 1];
  auto const& began = rollout_progress.step_start;
  bool const is_long_enough = clock(current.at) >= rollout.step_began_at + step.least_duration;
  return is_long_enough &&
         allows_step(difference(current.target, began.target),
                     difference(current.baseline, began.baseline), rollout.bounds);
}

} // namespace catkinlanding::rollouts
