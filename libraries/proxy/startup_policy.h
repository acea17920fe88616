#pragma once

#include <libraries/base/time.h>

#include <optional>

namespace catkinlanding::proxy {

/// Decides how long a request may wait while an instance starts and lacks a document or an
/// endpoint.
struct startup_policy {
  /// For this long after the start, requests wait for a missing document or endpoint instead of
  /// being refused. Long enough for a leader election and one round of endpoint announcements.
  base::duration startup_wait{};
  /// A caller that is refused may reach another instance, and needs this long for it at most:
  /// callers allow a new connection one second.
  base::duration return_time = std::chrono::seconds(1);

  /// Returns until when the request may wait whose caller still waits for `time_left`; nothing if
  /// it may not wait any longer.
  [[nodiscard]] std::optional<base::monotonic_time> wait_end(base::monotonic_time started_at,
                                                             base::duration time_left,
                                                             base::monotonic_time now) const;
};

} // namespace catkinlanding::proxy
