#pragma once

#include <libraries/proxy/active_request.h>
#include <libraries/proxy/tally_recorder.h>
#include <libraries/proxy/version_policy.h>

#include <vector>

namespace catkinlanding::proxy {

/// Decides which attempts are evidence for a rollout of their service, and counts them. This judges
/// a version and decides nothing about a request. Only first attempts count: some requests fail
/// wherever they run, so their further attempts are no independent evidence.
class rollout_observer {
public:
  /// Drops the tallies of rollouts that are no longer evaluated.
  void apply(std::vector<rollout> const& rollouts, version_policy const& versions);
  /// The endpoint of the current attempt began to answer, or failed.
  void note_answer(active_request const& request, version_policy const& versions,
                   base::monotonic_time now);
  void note_failure(active_request const& request, version_policy const& versions);
  void note_event_interval(active_request const& request, version_policy const& versions,
                           base::duration interval);
  /// Counts an attempt that its caller gave up waiting for as a late answer, if it took longer than
  /// the operator wants answers of its route to take. Callers may leave sooner for other reasons.
  void note_unanswered(active_request const& request, version_policy const& versions,
                       base::monotonic_time now);

  [[nodiscard]] std::vector<version_tally> const& tallies() const { return m_tallies.tallies(); }

private:
  tally_recorder m_tallies;
};

} // namespace catkinlanding::proxy
