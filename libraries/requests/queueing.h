#pragma once

#include <libraries/requests/active_request.h>
#include <libraries/requests/environment.h>

#include <optional>

/// What a request has to do with the queue of admission control.
namespace catkinlanding::requests {

/// Whether the request's attempts wait in the queue for their turn.
[[nodiscard]] bool is_queued(active_request const& request, environment const& environment);
/// Whether the wait for an attempt, the first one or another, and its work exceed the time left.
[[nodiscard]] std::optional<limits::admission::refusal>
refuse_to_queue(active_request const& request, environment const& environment,
                base::monotonic_time now);
/// Teaches admission how long the current attempt took, if its attempts wait in the queue.
void observe_duration(active_request const& request, environment const& environment,
                      base::monotonic_time now);
void leave_queue(active_request& request, environment const& environment);
/// Whether the request waits for an endpoint, or its answer for a judgement that may lead to
/// another attempt, and no attempt would end in time any more.
[[nodiscard]] bool waits_in_vain(active_request const& request, environment const& environment,
                                 base::monotonic_time now);
/// Ends the wait for capacity and records its duration, zero if the request did not wait.
void report_queueing_time(active_request& request, base::monotonic_time now, effects& out);
/// Ends a wait that leads to no attempt; records nothing if the request did not wait.
void end_wait(active_request& request, base::monotonic_time now, effects& out);

} // namespace catkinlanding::requests
