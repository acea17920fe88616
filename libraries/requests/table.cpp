#include <libraries/base/verify.h>
#include <libraries/claims/registry.h>
#include <libraries/requests/endpoint_selection.h>
#include <libraries/requests/queueing.h>
#include <libraries/requests/refusals.h>
#include <libraries/requests/table.h>

#include <algorithm>

namespace catkinlanding::requests {

void table::reduce(event const& event, environment const& environment, base::monotonic_time now,
                   effects& out) {
  std::visit([&](auto const& alternative) { handle(alternative, environment, now, out); }, event);
  close_event(environment, now);
}

std::vector<running_request> table::running(std::size_t max_count, base::monotonic_time now) const {
  std::vector<running_request> running;
  for (auto const& [number, request] : m_requests) {
    if (running.size() == max_count) {
      break;
    }
    running.push_back(summarize(request, now));
  }
  return running;
}

void table::tick(environment const& environment, base::monotonic_time now, effects& out) {
  for (auto it = m_requests.begin(); it != m_requests.end();) {
    // Advance first: the request may be erased by this call.
    auto& request = (it++)->second;
    tick(request, environment, now, out);
  }
  start_queued(environment, now, out);
  close_event(environment, now);
}

void table::tick(request& request, environment const& environment, base::monotonic_time now,
                 effects& out) {
  if (request.phase == phase::finalizing) {
    end_if_finalized(request, now, out);
    return;
  }
  bool const is_claim_late =
      request.phase == phase::claiming && now >= request.claimed_at + m_options.claim_timeout;
  bool const is_pin_late =
      request.phase == phase::pinning && now >= request.pin_asked_at + m_options.pin_timeout;
  if (waits_in_vain(request, environment, now)) {
    give_up_waiting(request, environment, now, out);
    return;
  }
  if (now < ends_at(request) && !is_claim_late && !is_pin_late) {
    return;
  }
  bool const was_sent = request.attempt != 0;
  leave_queue(request, environment);
  if (was_sent) {
    // The work takes at least that long.
    observe_duration(request, environment, now);
    out.emplace_back(cancel_attempt{request.attempt});
    end_attempt(request, environment);
  }
  if (deliver_held(request, now, out)) {
    return;
  }
  auto kind = failure_kind::deadline_passed;
  bool const is_time_over = !is_claim_late && !is_pin_late;
  if (is_claim_late) {
    kind = failure_kind::claims_unavailable;
  } else if (is_pin_late) {
    kind = failure_kind::session_unavailable;
  }
  fail(request,
       {.kind = kind,
        .run_state = was_sent ? run_state::outcome_unknown : run_state::not_run,
        .retry_after = is_time_over ? std::nullopt : std::optional(news_interval)},
       now, out);
}

void table::handle(caller_request const& incoming, environment const& environment,
                   base::monotonic_time now, effects& out) {
  auto [it, is_new] = m_requests.try_emplace(incoming.number);
  CATKINLANDING_VERIFY(is_new);
  auto& request = it->second;
  request.incoming = incoming;
  request.arrived_at = now - incoming.waited;
  if (auto const refused = m_intake.admit(request, environment)) {
    fail(request, *refused, now, out);
    return;
  }
  if (now >= request.expires_at) {
    fail(request, refusal(failure_kind::deadline_passed), now, out);
    return;
  }
  if (auto const retry_after = charge_limits(request, environment, now)) {
    fail(request, refusal(failure_kind::limit_reached, retry_after), now, out);
    return;
  }
  if (request.holder) {
    start_claim(request, environment, now, out);
    return;
  }
  if (is_pin_unavailable(request, environment, now)) {
    fail(request, refusal(failure_kind::session_unavailable, news_interval), now, out);
    return;
  }
  if (auto const refused = refuse_to_queue(request, environment, now)) {
    fail(request, refusal(failure_kind::no_endpoint, refused->retry_after), now, out);
    return;
  }
  start_in_turn(request, environment, now, out);
}

std::optional<base::duration> table::charge_limits(request& request, environment const& environment,
                                                   base::monotonic_time now) {
  if (environment.limiter == nullptr) {
    return std::nullopt;
  }
  limits::charge charge{.customer = request.customer, .request_class = request.request_class};
  if (std::holds_alternative<completion_target>(request.incoming.target)) {
    charge.tokens =
        environment.limiter->estimate(request.request_class, request.incoming.body->size());
  }
  auto retry_after = environment.limiter->refuse(charge, environment.document, now);
  if (!retry_after) {
    request.charged = std::move(charge);
  }
  return retry_after;
}

void table::record_tokens(request& request, std::uint64_t tokens) {
  if (request.charged) {
    m_corrections.push_back({.charge = std::move(*request.charged), .tokens = tokens});
    request.charged.reset();
  }
}

void table::close_event(environment const& environment, base::monotonic_time now) {
  if (environment.admission != nullptr) {
    std::ranges::for_each(m_ended, [&](auto number) { environment.admission->leave(number); });
  }
  m_ended.clear();
  for (auto const& correction : m_corrections) {
    environment.limiter->correct(correction, now);
  }
  m_corrections.clear();
}

void table::start_in_turn(request& request, environment const& environment,
                          base::monotonic_time now, effects& out) {
  if (!is_queued(request, environment)) {
    start_attempt(request, environment, now, out);
    return;
  }
  environment.admission->wait(request.work(), now);
  request.is_waiting = true;
  request.waiting_since = now;
  start_queued(environment, now, out);
}

void table::give_up_waiting(request& request, environment const& environment,
                            base::monotonic_time now, effects& out) {
  leave_queue(request, environment);
  if (!deliver_held(request, now, out)) {
    fail(request, refusal(failure_kind::no_endpoint), now, out);
  }
}

void table::start_queued(environment const& environment, base::monotonic_time now, effects& out) {
  if (environment.admission == nullptr) {
    return;
  }
  std::set<base::model_id> full_models;
  while (auto const number = environment.admission->next(full_models)) {
    auto& request = m_requests.at(*number);
    request.is_waiting = false;
    auto const work = request.work();
    if (environment.admission->would_miss_deadline(work, now)) {
      give_up_waiting(request, environment, now, out);
      continue;
    }
    start_attempt(request, environment, now, out);
    auto const it = m_requests.find(*number);
    if (it != m_requests.end() && it->second.is_waiting) {
      full_models.insert(work.model);
    }
  }
}

void table::start_claim(request& request, environment const& environment, base::monotonic_time now,
                        effects& out) {
  if (!environment.can_claim) {
    fail(request, refusal(failure_kind::claims_unavailable, news_interval), now, out);
    return;
  }
  request.phase = phase::claiming;
  request.claimed_at = now;
  out.emplace_back(claim_action{request.claim(now)});
}

void table::handle(claim_decided const& decided, environment const& environment,
                   base::monotonic_time now, effects& out) {
  auto const& decision = decided.decision;
  auto const it = m_requests.find(decision.holder.number);
  if (it == m_requests.end() || it->second.holder != decision.holder) {
    return;
  }
  auto& request = it->second;
  if (request.phase == phase::finalizing && decision.kind == claims::action_kind::finish) {
    request.awaits_claim_finish = false;
    end_if_finalized(request, now, out);
    return;
  }
  if (request.phase != phase::claiming || decision.kind != claims::action_kind::claim) {
    return;
  }
  if (now >= request.claimed_at + m_options.claim_validity) {
    // The log may have expired the key since then, and granted it to another holder.
    fail(request, refusal(failure_kind::claims_unavailable, news_interval), now, out);
    return;
  }
  if (decision.verdict.kind == claims::verdict_kind::granted) {
    run_claimed(request, environment, now, out);
    return;
  }
  answer_duplicate(request, decision.verdict, now, out);
}

void table::run_claimed(request& request, environment const& environment, base::monotonic_time now,
                        effects& out) {
  request.is_claim_granted = true;
  request.phase = phase::running;
  if (now >= request.expires_at) {
    fail(request, refusal(failure_kind::deadline_passed), now, out);
    return;
  }
  start_attempt(request, environment, now, out);
}

void table::answer_duplicate(request& request, claims::verdict const& verdict,
                             base::monotonic_time now, effects& out) {
  // The claim was not granted, so there is nothing to finish or release in the log.
  request.phase = phase::running;
  if (verdict.kind == claims::verdict_kind::content_mismatch) {
    // The key has run with other content and can't run again, so this request certainly has not
    // run, even though it holds no claim.
    request.holder.reset();
  }
  if (verdict.kind != claims::verdict_kind::finished || !verdict.answer) {
    fail(request, duplicate_failure(verdict), now, out);
    return;
  }
  auto const number = request.incoming.number;
  out.emplace_back(reply_head{.number = number,
                              .status = verdict.answer->status,
                              .is_stream = false,
                              .content_type = verdict.answer->content_type});
  out.emplace_back(reply_data{.number = number, .bytes = verdict.answer->body});
  out.emplace_back(reply_end{number});
  m_requests.erase(number);
}

void table::end_claim(request const& request, run_state state, effects& out) {
  if (state == run_state::not_run || request.phase == phase::claiming) {
    out.emplace_back(
        claim_action{claims::release{.request = request.id, .holder = *request.holder}});
    return;
  }
  auto const result =
      state == run_state::failed ? claims::run_result::failed : claims::run_result::unknown;
  out.emplace_back(claim_action{claims::finish{
      .request = request.id, .holder = *request.holder, .result = result, .answer = {}}});
}

void table::start_attempt(request& request, environment const& environment,
                          base::monotonic_time now, effects& out) {
  if (request.holder && !request.is_claim_valid(m_options.claim_validity, now)) {
    fail(request, refusal(failure_kind::claims_unavailable, news_interval), now, out);
    return;
  }
  auto const endpoint = choose_endpoint(request, environment, now);
  if (!endpoint) {
    if (endpoint.error() == routing::choice_error::busy && environment.admission != nullptr) {
      environment.admission->restore(request.work());
      request.is_waiting = true;
      request.waiting_since = request.waiting_since.value_or(now);
      return;
    }
    if (!deliver_held(request, now, out)) {
      bool const is_pin_unusable = request.session && !request.needs_pin &&
                                   endpoint.error() == routing::choice_error::no_version;
      auto const kind =
          is_pin_unusable ? failure_kind::session_unavailable : to_failure_kind(endpoint.error());
      fail(request, refusal(kind, news_interval), now, out);
    }
    return;
  }
  if (request.needs_pin) {
    start_pinning(request, environment, now, out);
    return;
  }
  if (is_queued(request, environment)) {
    environment.admission->started(request.work(), now);
  }
  refresh_pin(request, environment, now, out);
  request.is_pin_decided = false;
  // A non-idempotent request runs at most once, and under a key only with its claim.
  CATKINLANDING_VERIFY(request.is_idempotent || !request.may_have_run);
  CATKINLANDING_VERIFY(!request.holder || request.is_claim_valid(m_options.claim_validity, now));
  report_queueing_time(request, now, out);
  request.sent_at = now;
  ++request.attempts;
  request.attempt = ++m_last_attempt;
  request.endpoint = *endpoint;
  m_attempts[request.attempt] = request.incoming.number;
  environment.directory.start_attempt(*endpoint);
  dispatch effect{
      .attempt = request.attempt,
      .address = environment.directory.find(*endpoint)->announcement.address,
      .method = "POST",
      .path = "/v1/chat/completions",
      .content_type = request.incoming.content_type,
      .body = request.incoming.body,
      .version = request.version,
      .request = request.id,
      .priority = request.priority,
      .is_stream = request.incoming.is_stream,
  };
  if (auto const* target = std::get_if<service_target>(&request.incoming.target)) {
    effect.method = target->method;
    effect.path = target->path;
  }
  out.emplace_back(std::move(effect));
}

void table::start_pinning(request& request, environment const& environment,
                          base::monotonic_time now, effects& out) {
  // If the log has answered and its pin is unusable here, this instance's catalogue is outdated.
  if (request.is_pin_decided || !environment.can_pin) {
    fail(request, refusal(failure_kind::session_unavailable, news_interval), now, out);
    return;
  }
  bool const is_first = !m_pinning.contains(*request.session);
  request.phase = phase::pinning;
  request.pin_asked_at = now;
  m_pinning.emplace(*request.session, request.incoming.number);
  if (is_first) {
    out.emplace_back(pin_session{.key = *request.session, .version = request.version});
  }
}

void table::refresh_pin(request const& request, environment const& environment,
                        base::monotonic_time now, effects& out) {
  bool const is_due = request.session && environment.can_pin &&
                      environment.pins->needs_refresh(*request.session, now);
  if (is_due) {
    out.emplace_back(pin_session{.key = *request.session, .version = request.version});
  }
}

void table::handle(session_decided const& decided, environment const& environment,
                   base::monotonic_time now, effects& out) {
  std::vector<request_number> numbers;
  auto const [first, last] = m_pinning.equal_range(decided.key);
  for (auto it = first; it != last; ++it) {
    numbers.push_back(it->second);
  }
  m_pinning.erase(first, last);
  for (auto const number : numbers) {
    auto& request = m_requests.at(number);
    request.phase = phase::running;
    request.is_pin_decided = true;
    if (now >= request.expires_at) {
      fail(request, refusal(failure_kind::deadline_passed), now, out);
    } else if (decided.verdict == sessions::verdict_kind::full) {
      fail(request, refusal(failure_kind::overloaded, news_interval), now, out);
    } else {
      start_attempt(request, environment, now, out);
    }
  }
}

void table::handle(caller_disconnected const& disconnected, environment const& environment,
                   base::monotonic_time now, effects& out) {
  auto const it = m_requests.find(disconnected.number);
  if (it == m_requests.end()) {
    return;
  }
  auto& request = it->second;
  leave_queue(request, environment);
  end_wait(request, now, out);
  if (request.holder && request.attempt != 0) {
    // The request must not run twice, so it runs on, and its answer is stored for the caller's
    // retry.
    return;
  }
  if (request.holder && request.phase != phase::finalizing) {
    end_claim(request, run_state::not_run, out);
  }
  if (request.attempts == 0) {
    record_tokens(request, 0);
  }
  if (request.attempt != 0) {
    out.emplace_back(cancel_attempt{request.attempt});
    end_attempt(request, environment);
  }
  erase(request);
}

table::request* table::find_by_attempt(attempt_number attempt) {
  auto const it = m_attempts.find(attempt);
  if (it == m_attempts.end()) {
    // The attempt was cancelled or replaced before.
    ++m_counters.late_answers;
    return nullptr;
  }
  return &m_requests.at(it->second);
}

} // namespace catkinlanding::requests
