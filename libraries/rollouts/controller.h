#pragma once

#include <libraries/base/time.h>
#include <libraries/catalogue/document.h>
#include <libraries/rollouts/collector.h>

#include <array>
#include <map>
#include <optional>

namespace catkinlanding::rollouts {

/// Decides for the leader what becomes of the roll-outs. Each decision is a change of the
/// catalogue under its present revision, so another change that comes first undoes it, and the
/// next leader finds in the catalogue all that it needs to go on.
class controller {
public:
  struct options {
    /// Answers of at most twice this time, and at least of this time, count as recent.
    base::duration recent_window = std::chrono::seconds(10);
    /// A change that was proposed is given this long before it is proposed again.
    base::duration proposal_timeout = std::chrono::seconds(2);
  };

  /// The clock of the log goes on from `clock`; it stands still while nobody leads.
  controller(options options, base::duration clock, base::monotonic_time now);

  /// The change that the document needs now, if there is one.
  [[nodiscard]] std::optional<catalogue::change>
  propose(catalogue::document const& document, collector const& evidence, base::monotonic_time now);

  /// The change could not be proposed after all.
  void cancel_proposal() { m_proposed.reset(); }

private:
  /// The sums of the two versions at one time.
  struct sample {
    tally target;
    tally baseline;
    base::monotonic_time at{};
  };

  /// What this leader saw of one roll-out.
  struct rollout_progress {
    std::string id;
    std::uint32_t steps_taken = 0;
    catalogue::rollout_state state = catalogue::rollout_state::running;
    sample step_start;
    /// The last two readings that were kept, older first.
    std::array<sample, 2> recent_samples;
  };

  struct proposal {
    catalogue::revision revision = 0;
    base::monotonic_time due{};
  };

  [[nodiscard]] base::duration clock(base::monotonic_time now) const;
  void advance_clock(catalogue::document const& document, base::monotonic_time now);
  rollout_progress& track(catalogue::rollout const& rollout, sample const& current);
  [[nodiscard]] std::optional<catalogue::change> decide(catalogue::document const& document,
                                                        catalogue::rollout const& rollout,
                                                        collector const& evidence,
                                                        base::monotonic_time now);
  [[nodiscard]] bool can_step(catalogue::rollout const& rollout,
                              rollout_progress const& rollout_progress,
                              sample const& current) const;

  options m_options;
  base::duration m_clock;
  base::monotonic_time m_since;
  std::map<base::model_id, rollout_progress> m_progress;
  std::optional<proposal> m_proposed;
};

/// The change by which a roll-out takes the given form, and its version the exposure that follows.
[[nodiscard]] catalogue::change make_rollout_change(catalogue::document const& document,
                                                    catalogue::rollout after);

/// The versions that reports must cover: those of active roll-outs, and those they are compared
/// with.
[[nodiscard]] std::vector<version_key> watched_versions(catalogue::document const& document);

} // namespace catkinlanding::rollouts
