#pragma once

#include <libraries/proxy/document.h>
#include <libraries/proxy/endpoint_table.h>

#include <optional>

namespace catkinlanding::proxy {

/// Decides when an attempt whose endpoint sends nothing is considered stalled, so that another one
/// may take its place.
struct stall_policy {
  /// A stream attempt is considered stalled after a pause of this many times the route's target
  /// pause, and never before min_timeout. The same minimum applies to an attempt whose first event
  /// is missing, while its endpoint sends nothing on other requests either.
  double pause_factor = 2.5;
  base::duration min_timeout = std::chrono::seconds(2);
  /// An idempotent request is considered stalled after this many times the route's target latency.
  double latency_factor = 1.3;

  /// The times of an attempt.
  struct attempt_times {
    base::monotonic_time attempt_at{};
    /// When the attempt began, its answer began or the last whole event of its stream arrived.
    base::monotonic_time progress_at{};
    bool has_answer = false;
  };

  /// Returns nothing while the attempt may be queued on a fully loaded endpoint, and for a route
  /// without a target. `endpoint` is nullptr if it is not known any more.
  [[nodiscard]] std::optional<base::monotonic_time>
  deadline(route const& route, attempt_times const& times, known_endpoint const* endpoint) const;
};

} // namespace catkinlanding::proxy
