#include <libraries/base/verify.h>
#include <libraries/requests/refusals.h>

namespace catkinlanding::requests {

namespace {

/// The failure for a duplicate of a request that was sent to an endpoint before and has no stored
/// answer.
failure ended_run_failure(claims::run_result result) {
  switch (result) {
  case claims::run_result::answered:
    return {.kind = failure_kind::already_run, .run_state = run_state::ran};
  case claims::run_result::failed:
    return {.kind = failure_kind::endpoint_failed, .run_state = run_state::failed};
  case claims::run_result::unknown:
    break;
  }
  return {.kind = failure_kind::earlier_run_unknown, .run_state = run_state::outcome_unknown};
}

} // namespace

failure refusal(failure_kind kind, std::optional<base::duration> retry_after) {
  return {.kind = kind, .run_state = run_state::not_run, .retry_after = retry_after};
}

failure_kind to_failure_kind(routing::choice_error error) {
  switch (error) {
  case routing::choice_error::unknown_model:
    return failure_kind::unknown_model;
  case routing::choice_error::not_allowed:
    return failure_kind::not_allowed;
  case routing::choice_error::no_version:
  case routing::choice_error::version_suspended:
    return failure_kind::no_version;
  case routing::choice_error::no_endpoint:
  case routing::choice_error::busy:
    return failure_kind::no_endpoint;
  }
  return failure_kind::no_endpoint;
}

bool is_safe_to_retry(attempt_failure_kind kind) {
  return kind == attempt_failure_kind::not_sent || kind == attempt_failure_kind::refused;
}

failure duplicate_failure(claims::verdict const& verdict) {
  switch (verdict.kind) {
  case claims::verdict_kind::running_elsewhere:
    return {.kind = failure_kind::already_running,
            .run_state = run_state::outcome_unknown,
            .retry_after = news_interval};
  case claims::verdict_kind::content_mismatch:
    return refusal(failure_kind::key_reused);
  case claims::verdict_kind::full:
    return refusal(failure_kind::overloaded, news_interval);
  case claims::verdict_kind::finished:
    return ended_run_failure(verdict.result);
  case claims::verdict_kind::granted:
  case claims::verdict_kind::already_released:
  case claims::verdict_kind::recorded:
    break;
  }
  // A pending claim was neither released nor finished, so it can't get the other verdicts.
  CATKINLANDING_VERIFY(false);
}

} // namespace catkinlanding::requests
