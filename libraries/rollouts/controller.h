#pragma once

#include <libraries/base/time.h>
#include <libraries/catalogue/document.h>
#include <libraries/rollouts/collector.h>

#include <array>
#include <map>
#include <optional>

namespace catkinlanding::rollouts {

/// Drives the rollouts on the leader. Each decision is a change of the catalogue based on its
/// current revision, so that a concurrent change makes it void. All state that the next leader
/// needs to continue is in the catalogue.
class controller {
public:
  struct options {
    /// Recent answers are those since a sample that is between one and two of these intervals old.
    base::duration recent_window = std::chrono::seconds(10);
    /// Time after which a proposed change that has not been committed may be proposed again.
    base::duration proposal_timeout = std::chrono::seconds(2);
  };

  /// Continues the clock of the log at `clock`. It stands still while there is no leader.
  controller(options options, base::duration clock, base::monotonic_time now);

  /// Returns the next change of the document, if one is due.
  [[nodiscard]] std::optional<catalogue::change>
  propose(catalogue::document const& document, collector const& evidence, base::monotonic_time now);

  /// To be called if the change returned by `propose` could not be proposed.
  void cancel_proposal() { m_proposed.reset(); }

private:
  /// The totals of both versions at one time.
  struct sample {
    tally target;
    tally baseline;
    base::monotonic_time at{};
  };

  /// What this leader has observed of one rollout.
  struct rollout_progress {
    std::string id;
    std::uint32_t steps_taken = 0;
    catalogue::rollout_state state = catalogue::rollout_state::running;
    sample step_start;
    /// The last two samples kept, older first.
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

/// Builds the change that sets the rollout to `after` and its version to the resulting exposure.
[[nodiscard]] catalogue::change make_rollout_change(catalogue::document const& document,
                                                    catalogue::rollout after);

/// The versions that reports must cover: those being rolled out, and the old versions that they are
/// compared with.
[[nodiscard]] std::vector<version_key> watched_versions(catalogue::document const& document);

} // namespace catkinlanding::rollouts
