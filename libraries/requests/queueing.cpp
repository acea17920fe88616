#include <libraries/requests/queueing.h>

namespace catkinlanding::requests {

bool is_queued(active_request const& request, environment const& environment) {
  return environment.admission != nullptr &&
         std::holds_alternative<completion_target>(request.incoming.target);
}

std::optional<limits::admission::refusal> refuse_to_queue(active_request const& request,
                                                          environment const& environment,
                                                          base::monotonic_time now) {
  return is_queued(request, environment) ? environment.admission->refuse(request.work(), now)
                                         : std::nullopt;
}

void observe_duration(active_request const& request, environment const& environment,
                      base::monotonic_time now) {
  if (is_queued(request, environment)) {
    environment.admission->finished(request.request_class, now - request.sent_at);
  }
}

void leave_queue(active_request& request, environment const& environment) {
  if (request.is_waiting) {
    environment.admission->leave(request.incoming.number);
    request.is_waiting = false;
  }
}

bool waits_in_vain(active_request const& request, environment const& environment,
                   base::monotonic_time now) {
  bool const awaits_judgement = request.held && request.attempt == 0;
  return environment.admission != nullptr && (request.is_waiting || awaits_judgement) &&
         environment.admission->would_miss_deadline(request.work(), now);
}

void report_queueing_time(active_request& request, base::monotonic_time now, effects& out) {
  out.emplace_back(observe_queueing{.customer = request.customer,
                                    .request_class = request.request_class,
                                    .queueing = now - request.waiting_since.value_or(now)});
  request.waiting_since.reset();
}

void end_wait(active_request& request, base::monotonic_time now, effects& out) {
  if (request.waiting_since) {
    report_queueing_time(request, now, out);
  }
}

} // namespace catkinlanding::requests
