#include <libraries/base/verify.h>
#include <libraries/proxy/router.h>

#include <utility>

namespace catkinlanding::proxy {

std::optional<attempt> router::note_answer(request_number number, std::optional<double> confidence,
                                           base::monotonic_time now) {
  auto const found = m_requests.find(number);
  if (found == m_requests.end() || found->second.current.has_answer) {
    return std::nullopt;
  }
  auto& request = found->second;
  auto& current = request.current;
  current.has_answer = true;
  current.progress_at = now;
  m_endpoints.note_success(current.endpoint);
  m_endpoints.note_prompt_processed(current.endpoint, std::exchange(current.pending_work, 0));
  m_observer.note_answer(request, m_versions, now);
  m_attempts.note_answer(request, now);
  bool const is_better_wanted = m_attempts.is_doubtful(request, confidence) &&
                                may_escalate(request, now) && may_try_another(request, now);
  if (!is_better_wanted) {
    return std::nullopt;
  }
  request.model_choice =
      m_attempts.try_escalate(request, *confidence, endpoints_for(request, now), now);
  if (request.model_choice->reason != cascade::choice_reason::replaced) {
    return std::nullopt;
  }
  return begin_beside(request,
                      {.state = current, .reason = attempt_failure::low_confidence, .since = now},
                      request.route->models.back(), now);
}

std::optional<cascade::choice> router::take_model_choice(request_number number) {
  auto const found = m_requests.find(number);
  return found == m_requests.end() ? std::nullopt
                                   : std::exchange(found->second.model_choice, std::nullopt);
}

std::optional<attempt> router::begin_attempt(active_request& request, endpoint_filter const& filter,
                                             base::monotonic_time now) {
  if (!request.may_run()) {
    return std::nullopt;
  }
  request.current.model_weight = m_attempts.relative_work(request);
  choice_criteria const criteria{.own_zone = m_options.zone,
                                 .affinity = affinity_of(request.facts.prompt),
                                 .shared_work = request.work_of(request.shared_prompt_tokens()),
                                 .slots = request.slots(),
                                 .salt = m_random()};
  auto const* chosen = choose_endpoint(filter.sendable(m_endpoints, request), criteria, now);
  if (chosen == nullptr) {
    return std::nullopt;
  }
  auto made = request.begin_attempt(*chosen, now);
  made.registry_term = m_subscriber.known().registry_term;
  made.registry_revision = m_subscriber.known().registry_revision;
  made.registry_age = m_subscriber.age(now);
  m_notices.rates().note_sent({made.endpoint, made.incarnation}, now);
  m_endpoints.begin_attempt(made.endpoint, request.current.pending_work);
  m_overload.begin_attempt(request.service);
  return made;
}

attempt_monitor::service_endpoints router::endpoints_for(active_request const& request,
                                                         base::monotonic_time now) const {
  return {.others = make_filter(now).sendable(m_endpoints, request),
          .ready = m_endpoints.ready(request.service)};
}

std::optional<attempt> router::begin_beside(active_request& request, held_attempt held,
                                            std::optional<base::model_id> model,
                                            base::monotonic_time now) {
  request.held = std::move(held);
  request.current.model = std::move(model);
  auto made = begin_attempt(request, make_filter(now), now);
  if (!made) {
    restore_held(request, now);
  }
  return made;
}

std::optional<replacement> router::try_replace_stalled(request_number number,
                                                       base::monotonic_time now) {
  auto const found = m_requests.find(number);
  if (found == m_requests.end() || found->second.held) {
    return std::nullopt;
  }
  auto& request = found->second;
  auto const* endpoint = m_endpoints.find(request.current.endpoint);
  bool const has_begun = request.has_delivered || request.current.has_event;
  bool const is_wanted = m_attempts.may_replace_stalled(request, endpoint, now) &&
                         may_try_another(request, now) &&
                         (has_begun || may_begin_attempt(request, now));
  if (!is_wanted) {
    return std::nullopt;
  }
  bool const is_relay_needed = m_relays.is_needed(request);
  bool const is_possible =
      is_relay_needed || !make_filter(now).sendable(m_endpoints, request).empty();
  if (!is_possible || !m_attempts.try_retry(request, now)) {
    return std::nullopt;
  }
  held_attempt held{.state = request.current, .reason = attempt_failure::stalled, .since = now};
  if (!is_relay_needed) {
    auto made = begin_beside(request, std::move(held), request.current.model, now);
    return made ? std::optional<replacement>(std::move(*made)) : std::nullopt;
  }
  auto relayed = m_relays.next(request, m_random);
  if (!relayed) {
    return std::nullopt;
  }
  request.held = std::move(held);
  request.is_attempting = false;
  // By the endpoint of the attempt that is held.
  relayed->may_have_run = true;
  return std::move(*relayed);
}

bool router::may_try_another(active_request const& request, base::monotonic_time now) const {
  return m_quarantine.may_try_again(request.traits, request.endings) &&
         !m_quarantine.find_quarantined(request.traits, now);
}

void router::accept_replacement(request_number number, base::monotonic_time now) {
  auto& request = find_held(number);
  drop_held(request, request.held->reason, now);
}

void router::fail_replacement(request_number number, attempt_failure failure,
                              base::monotonic_time now) {
  auto& request = find_held(number);
  request.may_have_run |= may_have_run_after(failure);
  if (request.is_relaying) {
    request.end_relay(failure);
  }
  if (request.is_attempting) {
    finish_attempt(request);
    note_failure(request, failure, now);
    if (failure == attempt_failure::unreachable) {
      request.note_unreached(request.current.endpoint);
    }
  }
  restore_held(request, now);
}

void router::withdraw_replacement(request_number number, base::monotonic_time now) {
  auto& request = find_held(number);
  // The other endpoint may have begun to execute the request.
  request.may_have_run = true;
  if (request.is_relaying) {
    request.end_relay(attempt_failure::stalled);
  }
  finish_attempt(request);
  restore_held(request, now);
}

void router::fail_held(request_number number, attempt_failure failure, base::monotonic_time now) {
  auto& request = find_held(number);
  if (failure == attempt_failure::unreachable) {
    request.note_unreached(request.held->state.endpoint);
  }
  drop_held(request, failure, now);
}

active_request& router::find_held(request_number number) {
  auto const found = m_requests.find(number);
  CATKINLANDING_VERIFY(found != m_requests.end() && found->second.held);
  return found->second;
}

void router::restore_held(active_request& request, base::monotonic_time now) {
  // Nothing was read of an answer that was held back.
  bool const was_read = request.held->reason != attempt_failure::low_confidence;
  request.current = std::move(request.held->state);
  request.current.progress_at = was_read ? request.current.progress_at : now;
  request.held.reset();
  request.is_attempting = true;
  request.is_relaying = false;
}

void router::drop_held(active_request& request, attempt_failure failure, base::monotonic_time now) {
  auto next = std::exchange(request.current, std::move(request.held->state));
  request.held.reset();
  release(request, request.current);
  note_failure(request, failure, now);
  request.may_have_run |= may_have_run_after(failure);
  request.has_delivered |= request.current.has_event;
  request.current = std::move(next);
}

} // namespace catkinlanding::proxy
