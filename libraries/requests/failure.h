#pragma once

#include <libraries/base/time.h>

#include <cstdint>
#include <optional>

namespace catkinlanding::requests {

/// The reason why a request failed.
enum class failure_kind : std::uint8_t {
  unknown_customer,
  unknown_model,
  unknown_service,
  not_allowed,
  no_version,
  no_endpoint,
  deadline_passed,
  endpoint_failed,
  answer_broken,
  /// The log that grants claims is unreachable, so nobody can tell whether the request with this
  /// idempotency key has run before.
  claims_unavailable,
  /// The same request is currently running for another connection.
  already_running,
  /// The request was answered before, and its answer is no longer stored.
  already_run,
  /// The request was sent to an endpoint before, and the outcome is unknown.
  earlier_run_unknown,
  /// The idempotency key was used for a request with different content.
  key_reused,
  overloaded,
  shutting_down,
  limit_reached,
  /// The version that the session is pinned to is unknown or currently unusable.
  session_unavailable,
};

/// Whether an endpoint executed a failed request, as far as is known.
enum class run_state : std::uint8_t {
  /// No endpoint has started it.
  not_run,
  /// An endpoint may have executed it, completely or in part.
  outcome_unknown,
  /// An endpoint executed it and reported an error.
  failed,
  /// An endpoint executed it and answered.
  ran,
};

struct failure {
  failure_kind kind = failure_kind::endpoint_failed;
  requests::run_state run_state = run_state::outcome_unknown;
  /// When a retry may be served; absent if none would be, or if nothing is known of it.
  std::optional<base::duration> retry_after;
};

} // namespace catkinlanding::requests
