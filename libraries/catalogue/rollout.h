#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>
#include <libraries/catalogue/stewardship.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinlanding::catalogue {

enum class rollout_state : std::uint8_t { running, paused, aborted, done };
/// Greater numbers are refused when they are decoded.
constexpr rollout_state last_enumerator(rollout_state /*any*/) {
  return rollout_state::done;
}

/// Why a roll-out is not running.
enum class rollout_reason : std::uint8_t {
  none,
  operator_request,
  /// The new version answered worse than the bounds allow.
  turned_worse,
  /// An operator changed the version's entry while the roll-out ran.
  overridden,
};
/// Greater numbers are refused when they are decoded.
constexpr rollout_reason last_enumerator(rollout_reason /*any*/) {
  return rollout_reason::overridden;
}

/// One step of exposure. The next is taken after the least duration at the earliest.
struct rollout_step {
  std::uint32_t exposure_permille = 0;
  std::chrono::milliseconds least_duration{};

  bool operator==(rollout_step const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(exposure_permille, least_duration);
  }
};

/// What evidence a step needs, and what evidence ends the roll-out. Between the two shares of bad
/// answers nothing happens, so that noise does neither.
struct rollout_bounds {
  /// Answers of the new version in each step.
  std::uint32_t least_answers = 200;
  /// How much greater than the old version's the share of bad answers may be for a step, in
  /// thousandths.
  std::uint32_t step_excess_permille = 10;
  /// A share greater than the old version's by more than this aborts, in thousandths.
  std::uint32_t abort_excess_permille = 50;
  /// Fewer bad answers than this within the recent past never abort.
  std::uint32_t least_bad_answers = 5;

  bool operator==(rollout_bounds const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(least_answers, step_excess_permille, abort_excess_permille, least_bad_answers);
  }
};

/// The gradual exposure of one version of a model. A model has one roll-out at a time.
struct rollout {
  base::model_id model;
  /// Differs from that of every earlier roll-out of the model, so that none begins again.
  std::string id;
  catalogue::stewardship stewardship;
  base::version_id version;
  /// The version that the new one is compared with; without it, with no bad answers at all.
  std::optional<base::version_id> old_version;
  std::vector<rollout_step> steps;
  rollout_bounds bounds;
  /// Whether an abort withdraws the version; otherwise it stays on trial without exposure.
  bool withdraws_on_abort = false;

  rollout_state state = rollout_state::running;
  rollout_reason reason = rollout_reason::none;
  /// Zero until the leader takes the first step.
  std::uint32_t steps_taken = 0;
  /// When the last step was taken, on the clock of the log.
  base::duration step_began_at{};

  bool operator==(rollout const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(model, id, stewardship, version, old_version, steps, bounds, withdraws_on_abort, state,
            reason, steps_taken, step_began_at);
  }
};

/// Whether the roll-out may still change the exposure of its version.
[[nodiscard]] bool is_active(rollout const& rollout);

/// The exposure that the steps taken so far allow, in thousandths.
[[nodiscard]] std::uint32_t exposure_of(rollout const& rollout);

/// Whether the steps grow, and the bounds leave room between a step and an abort.
[[nodiscard]] bool is_valid_plan(rollout const& rollout);

/// Whether a roll-out may go from one form to the other in one change. There is no form before the
/// first roll-out of a model. At most one step is taken, and none after an end.
[[nodiscard]] bool is_legal_transition(rollout const* before, rollout const& after);

} // namespace catkinlanding::catalogue
