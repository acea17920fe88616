#include <libraries/base/hash.h>
#include <libraries/base/verify.h>
#include <libraries/proxy/request_admission.h>
#include <libraries/proxy/router.h>

#include <algorithm>
#include <utility>

namespace catkinlanding::proxy {

namespace {

/// Copies the subscriber's intervals to the parts whose behaviour depends on them.
router::options with_subscriber_times(router::options options) {
  options.notices.news_interval = options.subscriber.urgent_interval;
  options.overload.news_interval = options.subscriber.urgent_interval;
  options.notices.rates.contact_timeout = options.subscriber.contact_timeout();
  return options;
}

} // namespace

router::router(options options)
    : m_options(with_subscriber_times(std::move(options))), m_random(m_options.seed),
      m_subscriber(m_options.subscriber), m_document_receiver(m_options.documents),
      m_endpoints(m_options.endpoints), m_grant_lease(m_options.subscriber.contact_timeout()),
      m_versions(m_options.versions), m_notices(m_options.notices), m_overload(m_options.overload),
      m_quarantine(m_options.quarantine),
      m_refusals({.recovery_time = max_election_time + m_options.subscriber.search_interval,
                  .announcement_interval = m_options.announcement_interval}),
      // The votes of a first election may be split.
      m_startup({.startup_wait = 2 * max_election_time + m_options.subscriber.search_interval +
                                 m_options.announcement_interval}),
      m_attempts(m_options.attempts), m_relays(m_options.relays) {}

std::optional<base::monotonic_time> router::wait_for_state(request_facts const& facts,
                                                           base::monotonic_time now) const {
  if (!m_started_at || m_stop.is_stopping() || !is_missing_state_for(facts)) {
    return std::nullopt;
  }
  auto const time_allowed =
      allowed_time(facts, m_routes->find(facts.host, facts.path), m_options.default_timeout);
  return m_startup.wait_end(*m_started_at, time_allowed - facts.waited, now);
}

bool router::is_missing_state_for(request_facts const& facts) const {
  if (!is_ready()) {
    return true;
  }
  auto const* route = m_routes->find(facts.host, facts.path);
  return route != nullptr && m_endpoints.ready(select_service(*route, facts.id)).empty();
}

std::optional<refusal> router::refuse_by_header(request_facts const& facts) const {
  if (!is_ready()) {
    return std::nullopt;
  }
  auto const admitted = admit(*m_routes, facts);
  return admitted ? std::nullopt : std::optional(m_refusals.make(admitted.error()));
}

decision router::begin(request_number number, request_facts facts, base::monotonic_time now) {
  auto const admitted = admit(*m_routes, facts);
  if (!admitted) {
    bool const lacks_document = admitted.error() == refusal_kind::no_document;
    return m_refusals.make(lacks_document && m_stop.is_stopping() ? refusal_kind::stopping
                                                                  : admitted.error());
  }
  auto request = make_request({.admitted = *admitted,
                               .routes = m_routes,
                               .facts = std::move(facts),
                               .default_timeout = m_options.default_timeout},
                              now);
  choose_model(request, now);
  if (!may_begin_attempt(request, now)) {
    return refuse_stopping(request);
  }
  request.deadline = m_stop.limit(request.deadline);
  if (!request.facts.is_relay_proven) {
    // The instance that passed it on has counted it.
    m_attempts.note_request(request, now);
  }
  auto& active = m_requests[number] = std::move(request);
  // A caller's request is sent once, whatever its route says.
  bool const may_attempt = !active.facts.is_relayed || active.has_attempts_left();
  return m_attempts.has_time(active, now) && may_attempt ? attempt_next(active, now)
                                                         : final_refusal(active, now);
}

std::vector<notice_change> router::note_notice(request_number number, endpoint_notice const& notice,
                                               base::monotonic_time now,
                                               base::endpoint_id const& endpoint) {
  auto const found = m_requests.find(number);
  bool const is_active =
      found != m_requests.end() && (found->second.is_attempting || found->second.held);
  if (!is_active) {
    return {};
  }
  m_relays.reachability().note_heard();
  auto const& request = found->second;
  auto const& attempt = request.attempt_at(endpoint);
  endpoint_incarnation const source{attempt.endpoint, attempt.incarnation};
  auto changes = m_notices.note(source, notice, attempt.began_at, now);
  auto const max_rejections = notice.max_rejections;
  if (max_rejections && m_overload.limits().note(request.service, *max_rejections, now)) {
    changes.push_back({.kind = notice_kind::rejection_limited, .max_rejections = max_rejections});
    m_overload.divide_room(m_endpoints, *m_routes, now);
  }
  return changes;
}

void router::note_progress(request_number number, base::monotonic_time now) {
  auto const found = m_requests.find(number);
  if (found != m_requests.end() && found->second.is_attempting) {
    auto const& request = found->second;
    auto const& attempt = request.held ? request.held->state : request.current;
    m_endpoints.note_activity(attempt.endpoint, now);
    m_relays.reachability().note_heard();
  }
}

void router::note_events(request_number number, std::size_t count, base::monotonic_time now) {
  auto const found = m_requests.find(number);
  if (found == m_requests.end()) {
    return;
  }
  auto& request = found->second;
  if (!request.is_attempting) {
    return;
  }
  if (count > 0) {
    m_attempts.note_events(request, now);
    request.current.note_events(now);
  }
  auto const interval = request.current.pace.note_events(count, now);
  if (interval) {
    m_observer.note_event_interval(request, m_versions, *interval);
  }
}

void router::note_written(request_number number, base::monotonic_time now) {
  auto const found = m_requests.find(number);
  if (found != m_requests.end() && found->second.is_attempting) {
    found->second.current.progress_at = now;
  }
}

std::optional<base::monotonic_time> router::stall_deadline(request_number number) const {
  auto const found = m_requests.find(number);
  return found == m_requests.end()
             ? std::nullopt
             : m_attempts.stall_deadline(found->second,
                                         m_endpoints.find(found->second.current.endpoint));
}

std::optional<attempt_report> router::report_attempt(request_number number,
                                                     base::monotonic_time now) const {
  auto const found = m_requests.find(number);
  if (found == m_requests.end() || found->second.current.endpoint.value.empty()) {
    return std::nullopt;
  }
  auto const& request = found->second;
  return m_attempts.report(request, m_endpoints.find(request.current.endpoint), now);
}

decision router::fail(request_number number, attempt_failure failure, bool was_delivered,
                      base::monotonic_time now) {
  auto const found = m_requests.find(number);
  CATKINLANDING_VERIFY(found != m_requests.end());
  auto& request = found->second;
  CATKINLANDING_VERIFY(!request.held);
  request.has_delivered |= was_delivered;
  if (request.is_relaying) {
    return fail_relay(request, failure, now);
  }
  finish_attempt(request);
  note_failure(request, failure, now);
  request.may_have_run |= may_have_run_after(failure);
  if (failure == attempt_failure::expired || !m_attempts.has_time(request, now)) {
    return final_refusal(request, now);
  }
  if (failure == attempt_failure::unreachable) {
    request.note_unreached(request.current.endpoint);
  }
  bool const is_first = failure == attempt_failure::unreachable && request.tried.empty();
  if (auto next =
          try_again(request, {.was_delivered = was_delivered, .needs_retry = !is_first}, now)) {
    return std::move(*next);
  }
  if (request.has_failure_answer && !was_delivered) {
    return forward_failure{};
  }
  return final_refusal(request, now);
}

std::optional<decision> router::try_again(active_request& request, next_attempt next,
                                          base::monotonic_time now) {
  auto const& route = *request.route;
  bool const can_end = request.has_delivered || may_begin_attempt(request, now);
  if (!can_end && !request.may_have_run) {
    return refuse_stopping(request);
  }
  bool const may_repeat =
      request.may_run_again() && m_quarantine.may_try_again(request.traits, request.endings);
  bool const may_continue = !next.was_delivered || route.kind == route_kind::resumable_stream;
  bool const is_possible = can_end && may_repeat && may_continue;
  if (!is_possible || (next.needs_retry && !m_attempts.try_retry(request, now))) {
    return std::nullopt;
  }
  auto made = attempt_next(request, now);
  bool const is_untrue = std::holds_alternative<refusal>(made) && request.may_have_run;
  return is_untrue ? std::nullopt : std::optional(std::move(made));
}

decision router::fail_relay(active_request& request, attempt_failure failure,
                            base::monotonic_time now) {
  bool const is_untried = !may_have_run_after(failure);
  request.end_relay(failure);
  if (failure == attempt_failure::expired || !m_attempts.has_time(request, now)) {
    return final_refusal(request, now);
  }
  if (request.may_have_run) {
    // A relay that was sent nothing leaves the retry that was taken for it.
    auto next = try_again(
        request, {.was_delivered = request.has_delivered, .needs_retry = !is_untried}, now);
    return next ? std::move(*next) : final_refusal(request, now);
  }
  if (!may_begin_attempt(request, now)) {
    return refuse_stopping(request);
  }
  auto next = m_relays.next(request, m_random);
  return next ? decision(std::move(*next)) : final_refusal(request, now);
}

void router::note_relay_tally(request_number number, relay_tally const& tally) {
  auto const found = m_requests.find(number);
  if (found != m_requests.end() && found->second.is_relaying) {
    found->second.tally_of_relay = tally;
  }
}

relay_tally router::hand_over(request_number number) {
  auto const found = m_requests.find(number);
  return found == m_requests.end() ? relay_tally{} : found->second.hand_over();
}

active_request const* router::find(request_number number) const {
  auto const found = m_requests.find(number);
  return found == m_requests.end() ? nullptr : &found->second;
}

std::string router::route_name(request_facts const& facts) const {
  auto const* route = m_routes->find(facts.host, facts.path);
  return route == nullptr ? "" : route->name;
}

void router::note_reached() {
  if (m_relays.reachability().note_reached()) {
    m_endpoints.forget_failures();
  }
}

std::optional<base::address> router::take_probe(base::monotonic_time now) {
  if (!m_relays.reachability().take_probe(now)) {
    return std::nullopt;
  }
  return m_endpoints.any_ready_address(m_random());
}

void router::note_completed(request_number number, base::monotonic_time now) {
  auto const found = m_requests.find(number);
  if (found != m_requests.end()) {
    m_quarantine.note_completed(found->second.traits, now);
    m_attempts.note_completed(found->second, now);
  }
}

void router::release_slot(request_number number) {
  auto const found = m_requests.find(number);
  if (found != m_requests.end() && !found->second.held) {
    finish_attempt(found->second);
  }
}

void router::end(request_number number, base::monotonic_time now) {
  auto const found = m_requests.find(number);
  if (found == m_requests.end()) {
    return;
  }
  auto& request = found->second;
  if (request.held) {
    finish_attempt(request);
    restore_held(request, now);
  }
  m_observer.note_unanswered(request, m_versions, now);
  finish_attempt(request);
  m_requests.erase(found);
}

void router::choose_model(active_request& request, base::monotonic_time now) const {
  if (!request.needs_model()) {
    return;
  }
  auto const& route = *request.route;
  // An instance that stops may not have the time that the largest model takes.
  bool const is_smallest_first = route.allows_second_run() || m_stop.is_stopping();
  request.current.model =
      is_smallest_first
          ? route.models.front()
          : m_attempts.model_for_single_attempt(request, endpoints_for(request, now).others, now);
}

decision router::attempt_next(active_request& request, base::monotonic_time now) {
  if (auto quarantined = m_quarantine.find_quarantined(request.traits, now)) {
    auto refused = request.describe(m_refusals.make(refusal_kind::quarantined));
    refused.retry_after = quarantined->remaining;
    refused.quarantine = std::move(quarantined);
    return refused;
  }
  if (auto relayed = m_relays.next(request, m_random)) {
    return std::move(*relayed);
  }
  if (m_relays.is_hopeless(request)) {
    return refuse_unsent(request, make_filter(now), now);
  }
  auto const filter = make_filter(now);
  auto made = begin_attempt(request, filter, now);
  return made ? decision(std::move(*made)) : refuse_unsent(request, filter, now);
}

endpoint_filter router::make_filter(base::monotonic_time now) const {
  return endpoint_filter(
      {.versions = m_versions,
       .notices = m_notices,
       .overload = m_overload,
       .is_connected = m_subscriber.is_connected(now) && m_grant_lease.is_current(now),
       .news_interval = m_options.subscriber.urgent_interval,
       .now = now});
}

refusal router::refuse_unsent(active_request const& request, endpoint_filter const& filter,
                              base::monotonic_time now) {
  auto const endpoints = filter.availability(m_endpoints, request);
  auto const unsent =
      endpoints && endpoints->deferral ? refusal_kind::deferred : refusal_kind::no_endpoint;
  bool const is_unsent = request.tried.empty() && request.unreached.empty();
  return refuse(request, is_unsent ? unsent : refusal_kind::not_run, endpoints, now);
}

refusal router::refuse(active_request const& request, refusal_kind kind,
                       std::optional<availability> const& endpoints, base::monotonic_time now) {
  auto made = m_refusals.make(kind,
                              {.service = request.service,
                               .endpoints = endpoints,
                               .usual_time = m_attempts.usual_time(request)},
                              now);
  made.deferral = endpoints ? endpoints->deferral : std::nullopt;
  return request.describe(std::move(made));
}

refusal router::final_refusal(active_request const& request, base::monotonic_time now) {
  auto const kind = request.final_refusal(!m_attempts.has_time(request, now));
  return kind == refusal_kind::not_run
             ? refuse(request, kind, make_filter(now).availability(m_endpoints, request), now)
             : request.describe(m_refusals.make(kind));
}

void router::note_failure(active_request& request, attempt_failure failure,
                          base::monotonic_time now) {
  m_attempts.note_failure(request, failure, now);
  switch (failure) {
  case attempt_failure::not_executed:
    m_endpoints.note_at_capacity(request.current.endpoint, now);
    m_overload.note_rejected({request.current.endpoint, request.current.incarnation},
                             request.service, now);
    return;
  case attempt_failure::wrong_endpoint:
    m_endpoints.note_replaced(request.current.endpoint);
    return;
  case attempt_failure::unreachable:
    m_endpoints.note_failure(request.current.endpoint, now);
    m_relays.reachability().note_unreachable(request.current.endpoint, now);
    return;
  case attempt_failure::broken:
    note_ending(request, now);
    [[fallthrough]];
  case attempt_failure::malformed:
    m_endpoints.note_failure(request.current.endpoint, now);
    m_observer.note_failure(request, m_versions);
    return;
  case attempt_failure::stalled:
    // What waited for its turn was given up for no fault of its endpoint. That it took too long
    // counts for its version all the same: one that answers nothing is always busy.
    if (!request.current.was_queued) {
      m_endpoints.note_failure(request.current.endpoint, now);
    }
    m_observer.note_failure(request, m_versions);
    return;
  case attempt_failure::expired:
    m_observer.note_failure(request, m_versions);
    return;
  case attempt_failure::failed_answer:
    request.has_failure_answer = true;
    // An endpoint that asks for a pause is in need, which says nothing about its version.
    if (!m_notices.is_paused({request.current.endpoint, request.current.incarnation}, now)) {
      m_observer.note_failure(request, m_versions);
    }
    return;
  case attempt_failure::low_confidence:
    // Not an endpoint failure.
    m_quarantine.note_dropped(request.traits,
                              {request.current.endpoint, request.current.incarnation}, now);
    return;
  }
}

void router::note_ending(active_request& request, base::monotonic_time now) {
  if (!request.current.has_event) {
    ++request.endings;
    m_quarantine.note_ending(request.traits,
                             {request.current.endpoint, request.current.incarnation}, now);
  }
}

void router::finish_attempt(active_request& request) {
  if (std::exchange(request.is_attempting, false)) {
    release(request, request.current);
  }
}

void router::release(active_request const& request, attempt_state& attempt) {
  attempt.was_queued =
      !attempt.has_answer && stall_policy::may_queue(m_endpoints.find(attempt.endpoint));
  m_endpoints.note_prompt_processed(attempt.endpoint, std::exchange(attempt.pending_work, 0));
  m_endpoints.end_attempt(attempt.endpoint);
  m_overload.end_attempt(request.service);
}

} // namespace catkinlanding::proxy
