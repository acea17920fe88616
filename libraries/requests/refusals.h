#pragma once

#include <libraries/claims/message.h>
#include <libraries/requests/event.h>
#include <libraries/requests/failure.h>
#include <libraries/routing/policy.h>

/// The failures that callers are told when a request is not run, or not run again.
namespace catkinlanding::requests {

/// Endpoints announce themselves and control instances elect a leader within about this time. An
/// earlier retry would be decided by what is known now.
inline constexpr base::duration news_interval = std::chrono::seconds(1);

/// The failure of a request that was not run.
[[nodiscard]] failure refusal(failure_kind kind,
                              std::optional<base::duration> retry_after = std::nullopt);
[[nodiscard]] failure_kind to_failure_kind(routing::choice_error error);
/// Whether an attempt that failed in this way certainly did not run.
[[nodiscard]] bool is_safe_to_retry(attempt_failure_kind kind);
/// The failure for a duplicate of a request that is running, or that ran and has no stored answer.
[[nodiscard]] failure duplicate_failure(claims::verdict const& verdict);

} // namespace catkinlanding::requests
