#pragma once

#include <libraries/requests/active_request.h>

namespace catkinlanding::requests {

/// What a request that has not ended is doing.
enum class progress : std::uint8_t {
  /// Waits for the log's word on its claim or session.
  awaiting_log,
  /// Waits for its turn and for an endpoint with room.
  queued,
  /// Sent to an endpoint; its caller has nothing of an answer yet.
  sent,
  /// Part of a streamed answer was sent to its caller.
  streaming,
  /// Its answer is held back, to be judged or replaced.
  held,
  /// Its answer is complete, and its end waits for its bill or claim.
  finalizing,
};

/// A request that has not ended, for the log of a stop.
struct running_request {
  base::request_id request;
  requests::progress progress = progress::queued;
  int attempts = 0;
  /// The endpoint that was asked last; empty if none was.
  base::endpoint_id endpoint;
  /// Until its deadline.
  base::duration left{};
};

[[nodiscard]] running_request summarize(active_request const& request, base::monotonic_time now);

} // namespace catkinlanding::requests
