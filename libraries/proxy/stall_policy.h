#pragma once

#include <libraries/proxy/answer_times.h>
#include <libraries/proxy/document.h>
#include <libraries/proxy/endpoint_table.h>

#include <optional>

namespace catkinlanding::proxy {

/// Decides when an attempt whose endpoint sends nothing is considered stalled, so that another one
/// may take its place: when it takes longer than answers of its route do that arrive. Without such
/// an answer there is no reason to look for another one.
struct stall_policy {
  /// A sound endpoint may send nothing for a second or so.
  base::duration max_sound_silence = std::chrono::seconds(2);

  /// The times of an attempt.
  struct attempt_times {
    base::monotonic_time attempt_at{};
    /// When the attempt began, its answer began or the last whole event of its stream arrived.
    base::monotonic_time progress_at{};
    bool has_answer = false;
  };

  /// Whether the endpoint has so many requests that one may wait there for its turn. `endpoint` is
  /// nullptr if it is not known any more.
  [[nodiscard]] static bool may_queue(known_endpoint const* endpoint);

  /// The longest pause between two events of a stream that is no reason to give it up.
  [[nodiscard]] base::duration max_pause(route const& route,
                                         answer_times::record const& usual) const;

  /// Until when an attempt that was begun at this time is asked to take the place of another one,
  /// without an answer.
  [[nodiscard]] base::monotonic_time replacement_deadline(route const& route,
                                                          base::monotonic_time began_at,
                                                          answer_times::record const& usual) const;

  /// Returns nothing while the attempt may be queued on a fully loaded endpoint, and while too
  /// little is known. `endpoint` is nullptr if it is not known any more.
  [[nodiscard]] std::optional<base::monotonic_time> deadline(route const& route,
                                                             attempt_times const& times,
                                                             answer_times::record const& usual,
                                                             known_endpoint const* endpoint) const;

private:
  [[nodiscard]] std::optional<base::monotonic_time>
  first_event_deadline(attempt_times const& times, answer_times::record const& usual,
                       known_endpoint const* endpoint) const;
};

} // namespace catkinlanding::proxy
