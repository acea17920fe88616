#pragma once

#include <libraries/base/time.h>
#include <libraries/proxy/request.h>

#include <optional>

namespace catkinlanding::proxy {

/// Decides how long a request may wait while an instance starts and lacks a document or an
/// endpoint.
struct startup_policy {
  /// For this long after the start, requests wait for a missing document or endpoint instead of
  /// being refused. Long enough for a leader election and one round of endpoint announcements.
  base::duration startup_wait = std::chrono::milliseconds(2500);
  /// Largest fraction of its own timeout that a request waits during startup, so that the caller
  /// has time left to retry.
  double max_wait_fraction = 0.5;

  /// Returns until when the request may wait; nothing if it may not wait any longer.
  [[nodiscard]] std::optional<base::monotonic_time> wait_end(base::monotonic_time started_at,
                                                             base::duration caller_timeout,
                                                             base::duration waited,
                                                             base::monotonic_time now) const;
};

} // namespace catkinlanding::proxy
