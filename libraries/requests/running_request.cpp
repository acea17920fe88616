#include <libraries/requests/running_request.h>

namespace catkinlanding::requests {

namespace {

progress progress_of(active_request const& request) {
  switch (request.phase) {
  case request_phase::claiming:
  case request_phase::pinning:
    return progress::awaiting_log;
  case request_phase::finalizing:
    return progress::finalizing;
  case request_phase::running:
    break;
  }
  if (request.held) {
    return progress::held;
  }
  if (request.attempt == 0) {
    return progress::queued;
  }
  return request.is_answer_started ? progress::streaming : progress::sent;
}

} // namespace

running_request summarize(active_request const& request, base::monotonic_time now) {
  return {.request = request.id,
          .progress = progress_of(request),
          .attempts = request.attempts,
          .endpoint = request.endpoint,
          .left = request.expires_at - now};
}

} // namespace catkinlanding::requests
