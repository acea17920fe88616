#include <libraries/proxy/rollout_observer.h>

namespace catkinlanding::proxy {

namespace {

tally_recorder::subject subject_of(active_request const& request) {
  return {
      .service = request.service, .version = request.current.version, .route = request.route->name};
}

/// Returns the rollout that the current attempt is evidence for; nullptr if there is none.
rollout const* counted_rollout(active_request const& request, version_policy const& versions) {
  return request.current.number == 1 ? versions.evaluated_rollout(request.service) : nullptr;
}

} // namespace

void rollout_observer::apply(std::vector<rollout> const& rollouts, version_policy const& versions) {
  for (auto const& rollout : rollouts) {
    m_tallies.keep_only(rollout.service, versions.evaluated_rollout(rollout.service));
  }
}

void rollout_observer::note_answer(active_request const& request, version_policy const& versions,
                                   base::monotonic_time now) {
  if (auto const* evaluated = counted_rollout(request, versions)) {
    m_tallies.add_answer(subject_of(request), *evaluated, now - request.current.began_at);
  }
}

void rollout_observer::note_failure(active_request const& request, version_policy const& versions) {
  if (auto const* evaluated = counted_rollout(request, versions)) {
    m_tallies.add_failure(subject_of(request), *evaluated, request.current.has_answer);
  }
}

void rollout_observer::note_event_interval(active_request const& request,
                                           version_policy const& versions,
                                           base::duration interval) {
  if (auto const* evaluated = versions.evaluated_rollout(request.service)) {
    m_tallies.add_event_interval(subject_of(request), *evaluated, interval);
  }
}

void rollout_observer::note_unanswered(active_request const& request,
                                       version_policy const& versions, base::monotonic_time now) {
  bool const is_late = request.is_attempting && !request.current.has_answer &&
                       now - request.current.began_at > request.route->target_latency;
  if (is_late) {
    note_answer(request, versions, now);
  }
}

} // namespace catkinlanding::proxy
