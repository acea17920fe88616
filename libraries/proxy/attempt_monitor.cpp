#include <libraries/proxy/attempt_monitor.h>

#include <algorithm>

namespace catkinlanding::proxy {

void attempt_monitor::note_request(active_request const& request, base::monotonic_time now) {
  m_retries.of(request.service).note_request(now);
}

void attempt_monitor::note_answer(active_request const& request, base::monotonic_time now) {
  m_times.note_answer(request, now);
}

void attempt_monitor::note_events(active_request const& request, base::monotonic_time now) {
  // Streams under way show that pauses have become longer before one of them is whole.
  auto const limit = m_options.stalls.max_pause(*request.route, m_times.of(request));
  bool const is_too_long = request.current.has_event && now - request.current.progress_at > limit;
  if (is_too_long) {
    // One stream alone must not raise the limit for all by as much as it paused.
    m_times.note_pause(request, limit);
  }
}

void attempt_monitor::note_completed(active_request const& request, base::monotonic_time now) {
  m_times.note_completed(request, now);
}

void attempt_monitor::note_failure(active_request const& request, attempt_failure failure,
                                   base::monotonic_time now) {
  if (failure == attempt_failure::stalled) {
    m_times.note_stalled(request);
  } else if (failure == attempt_failure::expired) {
    m_times.note_expired(request, now);
  }
}

bool attempt_monitor::has_time(active_request const& request, base::monotonic_time now) const {
  auto const& known = m_times.of(request);
  // Of an answer that was delivered in part only the rest is left.
  auto const shortest = (request.has_delivered ? known.first : known.whole).shortest();
  bool const is_known = shortest && known.is_current(*request.route, now);
  return now + (is_known ? *shortest : base::duration::zero()) < request.deadline;
}

base::duration attempt_monitor::usual_time(active_request const& request) const {
  return m_times.of(request).whole.usual().value_or(base::duration::zero());
}

std::optional<base::monotonic_time>
attempt_monitor::stall_deadline(active_request const& request,
                                known_endpoint const* endpoint) const {
  if (request.held) {
    auto const due = m_options.stalls.replacement_deadline(*request.route, request.held->since,
                                                           m_times.of(request));
    bool const is_answer_held = request.held->reason == attempt_failure::low_confidence;
    return is_answer_held ? std::min(due, latest_delivery(request)) : due;
  }
  auto const& route = *request.route;
  if (!request.is_attempting || !request.may_run_again()) {
    return std::nullopt;
  }
  return m_options.stalls.deadline(route,
                                   {.attempt_at = request.current.began_at,
                                    .progress_at = request.current.progress_at,
                                    .has_answer = request.current.has_answer},
                                   m_times.of(request), endpoint);
}

base::monotonic_time attempt_monitor::latest_delivery(active_request const& request) const {
  auto const since = request.held->since;
  auto const work = m_times.of(request, request.held->state.model).whole.usual();
  return std::min(since + (request.deadline - since) / 2,
                  request.deadline - work.value_or(base::duration::zero()));
}

attempt_report attempt_monitor::report(active_request const& request,
                                       known_endpoint const* endpoint,
                                       base::monotonic_time now) const {
  attempt_report made{.endpoint = request.current.endpoint,
                      .has_answer = request.current.has_answer,
                      .silence = now - request.current.progress_at,
                      .time_left = request.deadline - now,
                      .attempts_left = request.attempts_left()};
  if (auto const due = stall_deadline(request, endpoint)) {
    made.max_silence = *due - request.current.progress_at;
  }
  auto const learned_at = m_times.of(request).updated_at;
  if (learned_at != base::monotonic_time{}) {
    made.learned_age = now - learned_at;
  }
  return made;
}

bool attempt_monitor::try_retry(active_request const& request, base::monotonic_time now) {
  return m_retries.of(request.service).try_spend(now);
}

bool attempt_monitor::may_replace_stalled(active_request const& request,
                                          known_endpoint const* endpoint,
                                          base::monotonic_time now) const {
  auto const due = stall_deadline(request, endpoint);
  if (!due || now < *due) {
    return false;
  }
  auto const& known = m_times.of(request);
  auto const& work = request.current.has_answer ? known.first : known.whole;
  return now + work.usual().value_or(base::duration::zero()) <= request.deadline;
}

cascade::choice attempt_monitor::try_escalate(active_request const& request, double confidence,
                                              service_endpoints const& endpoints,
                                              base::monotonic_time now) {
  auto const left = capacity_of(endpoints.ready, request.slots());
  cascade::choice made{
      .confidence = confidence, .limit = m_models.limit(left), .idle_share = left.idle_share()};
  if (confidence >= made.limit) {
    made.reason = cascade::choice_reason::short_of_capacity;
  } else if (!can_escalate(request, m_times, endpoints.others, now)) {
    made.reason = cascade::choice_reason::not_possible;
  } else if (!m_retries.of(request.service)
                  .try_spend(now, retries_after_zone_loss(endpoints.ready))) {
    made.reason = cascade::choice_reason::short_of_retries;
  } else {
    made.reason = cascade::choice_reason::replaced;
  }
  return made;
}

} // namespace catkinlanding::proxy
