#pragma once

#include <libraries/limits/admission.h>
#include <libraries/limits/rate_limiter.h>
#include <libraries/routing/policy.h>
#include <libraries/sessions/pin_cache.h>

namespace catkinlanding::requests {

/// The state of the instance that the table's decisions depend on.
struct environment {
  catalogue::document const& document;
  /// Whether this instance holds a lease, under which its catalogue is known to be current.
  bool has_lease = false;
  /// Time since the lease expired.
  base::duration without_lease{};
  endpoints::directory& directory;
  routing::policy& chooser;
  /// Queues requests until an endpoint has capacity; if null, they are rejected instead.
  limits::admission* admission = nullptr;
  /// Enforces the rate limits of customers and classes; if null, there are none.
  limits::rate_limiter* limiter = nullptr;
  /// Whether the log that grants claims is believed to be reachable.
  bool can_claim = false;
  /// Whether a rating service is expected to evaluate answers in time.
  bool has_rating_service = false;
  /// The versions that sessions are pinned to; if null, sessions are not pinned.
  sessions::pin_cache* pins = nullptr;
  /// Whether the log that pins sessions is believed to be reachable.
  bool can_pin = false;
  /// Whether the outbox has no room for more bills.
  bool is_billing_full = false;
};

} // namespace catkinlanding::requests
