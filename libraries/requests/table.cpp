#include <libraries/base/verify.h>
#include <libraries/claims/registry.h>
#include <libraries/requests/endpoint_selection.h>
#include <libraries/requests/queueing.h>
#include <libraries/requests/refusals.h>
#include <libraries/requests/table.h>

#include <algorithm>

namespace catkinlanding::requests {

namespace {

/// Removes the request from those that wait for the key, if it is one of them.
template<class Key>
void remove_waiting(std::multimap<Key, request_number>& waiting, Key const& key,
                    request_number number) {
  auto const [first, last] = waiting.equal_range(key);
  auto const it = std::find_if(first, last, [&](auto const& i) { return i.second == number; });
  if (it != last) {
    waiting.erase(it);
  }
}

} // namespace

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

void table::handle(attempt_head const& head, environment const& /*environment*/,
                   base::monotonic_time now, effects& out) {
  auto* request = find_by_attempt(head.attempt);
  if (request == nullptr) {
    return;
  }
  request->content_type = head.content_type;
  request->status = head.status;
  request->first_byte = now;
  if (request->incoming.is_stream) {
    request->is_answer_started = true;
    out.emplace_back(reply_head{.number = request->incoming.number,
                                .status = head.status,
                                .is_stream = true,
                                .content_type = head.content_type,
                                .model = request->model,
                                .version = request->version,
                                .session_moved_from = request->session_moved_from});
  }
}

void table::handle(attempt_data const& data, environment const& /*environment*/,
                   base::monotonic_time /*now*/, effects& out) {
  auto* request = find_by_attempt(data.attempt);
  if (request == nullptr) {
    return;
  }
  if (!request->incoming.is_stream) {
    request->buffered += data.bytes;
    return;
  }
  if (request->wants_rating) {
    request->streamed += data.bytes;
    request->wants_rating = request->streamed.size() <= m_options.max_rated_answer_bytes;
  }
  reply_data piece{.number = request->incoming.number, .bytes = data.bytes};
  bool const is_end = request->is_stream_end(data.bytes);
  if (is_end || !request->final_effects.empty()) {
    request->final_effects.emplace_back(std::move(piece));
    return;
  }
  out.emplace_back(std::move(piece));
}

void table::handle(attempt_finished const& finished, environment const& environment,
                   base::monotonic_time now, effects& out) {
  auto* request = find_by_attempt(finished.attempt);
  if (request == nullptr) {
    return;
  }
  m_retry_budget.record_success();
  report(*request,
         finished.usage.completion_tokens == 0 ? routing::attempt_verdict::empty
                                               : routing::attempt_verdict::answered,
         finished.usage.completion_tokens, environment, now);
  observe_duration(*request, environment, now);
  end_attempt(*request, environment);
  request->lines.push_back(request->bill_line(finished.usage, environment.document));
  if (environment.limiter != nullptr && !request->version.is_empty()) {
    environment.limiter->observe(request->request_class, finished.usage.completion_tokens);
  }
  bool const needs_evaluation = !request->escalates_to.is_empty() && !request->held &&
                                request->buffered.size() <= m_options.max_rated_answer_bytes;
  if (needs_evaluation && !request->is_answer_started) {
    hold_for_evaluation(*request, out);
  } else if (!request->is_rejected() || !deliver_held(*request, now, out)) {
    deliver(*request, now, out);
  }
  start_queued(environment, now, out);
}

void table::hold_for_evaluation(request& request, effects& out) {
  out.emplace_back(evaluate_answer{.number = request.incoming.number,
                                   .subject = request.answer_to_rate(request.buffered),
                                   .escalates_to = request.escalates_to});
  request.held = held_answer{.body = std::move(request.buffered),
                             .content_type = request.content_type,
                             .status = request.status,
                             .version = request.version};
  request.buffered.clear();
}

void table::handle(answer_evaluated const& evaluated, environment const& environment,
                   base::monotonic_time now, effects& out) {
  auto const it = m_requests.find(evaluated.number);
  if (it == m_requests.end() || !it->second.held || it->second.attempt != 0 ||
      it->second.is_waiting) {
    return;
  }
  auto& request = it->second;
  bool const is_poor = evaluated.judgement == routing::judgement::poor;
  if (evaluated.judgement == routing::judgement::unknown) {
    ++m_counters.unevaluated_answers;
  } else {
    request.evaluated_version = request.version;
    environment.chooser.observe_judgement(request.model, request.version, request.request_class,
                                          is_poor, now);
  }
  if (!is_poor || refuse_to_queue(request, environment, now)) {
    static_cast<void>(deliver_held(request, now, out));
    return;
  }
  start_in_turn(request, environment, now, out);
}

base::monotonic_time table::ends_at(request const& request) const {
  // The end of an answer may wait for its bill, and its caller waits no longer than its deadline.
  return request.held ? request.expires_at - m_options.finalize_timeout : request.expires_at;
}

bool table::deliver_held(request& request, base::monotonic_time now, effects& out) {
  if (!request.held) {
    return false;
  }
  request.buffered = std::move(request.held->body);
  request.content_type = request.held->content_type;
  request.status = request.held->status;
  request.version = request.held->version;
  // A judgement that comes later must not deliver it again.
  request.held.reset();
  deliver(request, now, out);
  return true;
}

void table::deliver(request& request, base::monotonic_time now, effects& out) {
  auto const number = request.incoming.number;
  end_wait(request, now, out);
  std::uint64_t tokens = 0;
  for (auto const& line : request.lines) {
    tokens += line.prompt_tokens + line.completion_tokens;
  }
  if (tokens != 0) {
    // If the engine reports no token counts, the estimate stays charged.
    record_tokens(request, tokens);
  }
  out.emplace_back(charge{{.request = request.id,
                           .customer = request.customer,
                           .request_class = request.request_class,
                           .answered_at = request.incoming.received_at,
                           .lines = request.lines}});
  if (!request.is_answer_started) {
    request.final_effects.emplace_back(
        reply_head{.number = number,
                   .status = request.status,
                   .is_stream = false,
                   .content_type = request.content_type,
                   .model = request.model,
                   .version = request.version,
                   .session_moved_from = request.session_moved_from});
    request.final_effects.emplace_back(reply_data{.number = number, .bytes = request.buffered});
  }
  request.final_effects.emplace_back(reply_end{number});
  add_rating_request(request);
  request.final_effects.emplace_back(
      observe_request{.customer = request.customer,
                      .request_class = request.request_class,
                      .time_to_first_byte = request.first_byte.value_or(now) - request.arrived_at,
                      .total = now - request.arrived_at});
  finalize(request, now, out);
}

void table::add_rating_request(request& request) const {
  constexpr std::uint32_t ok = 200;
  auto const& answer = request.incoming.is_stream ? request.streamed : request.buffered;
  bool const is_ratable = request.status == ok && answer.size() <= m_options.max_rated_answer_bytes;
  if (!request.wants_rating || !is_ratable) {
    return;
  }
  bool const was_evaluated = !request.evaluated_version.is_empty();
  request.final_effects.emplace_back(
      rate_answer{.number = request.incoming.number,
                  .arm = {.model = request.model,
                          .version = was_evaluated ? request.evaluated_version : request.version,
                          .second = was_evaluated ? request.escalates_to : base::version_id{},
                          .request_class = request.request_class},
                  .subject = request.answer_to_rate(answer)});
}

void table::finalize(request& request, base::monotonic_time now, effects& out) {
  request.phase = phase::finalizing;
  request.finalize_deadline = now + m_options.finalize_timeout;
  request.awaits_bill_replication = true;
  m_finalizing.emplace(request.id, request.incoming.number);
  if (!request.holder) {
    return;
  }
  request.awaits_claim_finish = true;
  claims::finish finish{.request = request.id,
                        .holder = *request.holder,
                        .result = claims::run_result::answered,
                        .answer = {}};
  if (request.buffered.size() <= claims::registry::max_stored_answer_bytes) {
    finish.answer = claims::stored_answer{.status = request.status,
                                          .content_type = request.content_type,
                                          .body = std::move(request.buffered)};
  }
  out.emplace_back(claim_action{std::move(finish)});
}

void table::handle(bill_replicated const& replicated, environment const& /*environment*/,
                   base::monotonic_time now, effects& out) {
  std::vector<request_number> numbers;
  auto const [first, last] = m_finalizing.equal_range(replicated.request);
  for (auto it = first; it != last; ++it) {
    numbers.push_back(it->second);
  }
  for (auto const number : numbers) {
    auto& request = m_requests.at(number);
    request.awaits_bill_replication = false;
    end_if_finalized(request, now, out);
  }
}

void table::end_if_finalized(request& request, base::monotonic_time now, effects& out) {
  bool const is_finalized = !request.awaits_bill_replication && !request.awaits_claim_finish;
  if (!is_finalized && now < request.finalize_deadline) {
    return;
  }
  if (request.awaits_bill_replication) {
    ++m_counters.unreplicated_bills;
  }
  std::ranges::move(request.final_effects, std::back_inserter(out));
  erase(request);
}

void table::erase(request const& request) {
  auto const number = request.incoming.number;
  remove_waiting(m_finalizing, request.id, number);
  if (request.session) {
    remove_waiting(m_pinning, *request.session, number);
  }
  m_ended.push_back(number);
  m_requests.erase(number);
}

void table::handle(attempt_failed const& failed, environment const& environment,
                   base::monotonic_time now, effects& out) {
  auto* request = find_by_attempt(failed.attempt);
  if (request == nullptr) {
    return;
  }
  if (failed.kind == attempt_failure_kind::refused) {
    environment.directory.mark_leaving(request->endpoint);
    ++request->rejections;
  }
  report(*request,
         failed.kind == attempt_failure_kind::error_status
             ? routing::attempt_verdict::failed
             : routing::attempt_verdict::endpoint_lost,
         0, environment, now);
  request->excluded.insert(request->endpoint);
  end_attempt(*request, environment);
  request->buffered.clear();
  request->last_failure = failed.kind;
  request->may_have_run |= !is_safe_to_retry(failed.kind);
  if (may_retry(*request, now)) {
    auto const refused = refuse_to_queue(*request, environment, now);
    if (!refused && try_spend_retry(failed.kind, now)) {
      start_in_turn(*request, environment, now, out);
      start_queued(environment, now, out);
      return;
    }
    if (refused && !request->held && !request->may_have_run) {
      fail(*request, refusal(failure_kind::no_endpoint, refused->retry_after), now, out);
      start_queued(environment, now, out);
      return;
    }
  }
  if (deliver_held(*request, now, out)) {
    start_queued(environment, now, out);
    return;
  }
  auto state = run_state::outcome_unknown;
  if (is_safe_to_retry(failed.kind)) {
    state = run_state::not_run;
  } else if (failed.kind == attempt_failure_kind::error_status) {
    state = run_state::failed;
  }
  auto const kind = failed.kind == attempt_failure_kind::broken ? failure_kind::answer_broken
                                                                : failure_kind::endpoint_failed;
  fail(*request, {.kind = kind, .run_state = state, .retry_after = news_interval}, now, out);
  start_queued(environment, now, out);
}

bool table::may_retry(request const& request, base::monotonic_time now) const {
  bool const can_run_again = request.is_idempotent || !request.may_have_run;
  // A rejection costs next to nothing, and its endpoint is not asked again.
  bool const is_attempt_allowed =
      request.attempts - request.rejections < m_options.max_attempts && now < request.expires_at;
  bool const is_granted = !request.holder || request.is_claim_valid(m_options.claim_validity, now);
  return can_run_again && is_attempt_allowed && is_granted && !request.is_answer_started;
}

bool table::try_spend_retry(attempt_failure_kind kind, base::monotonic_time now) {
  // An attempt that did not run caused no load, so its retry needs no budget.
  if (!is_safe_to_retry(kind) && !m_retry_budget.try_spend(now)) {
    ++m_counters.retries_denied;
    return false;
  }
  ++m_counters.retries;
  return true;
}

void table::report(request const& request, routing::attempt_verdict verdict,
                   std::uint64_t completion_tokens, environment const& environment,
                   base::monotonic_time now) {
  if (request.version.is_empty()) {
    return;
  }
  environment.chooser.observe(
      routing::attempt_result{.model = request.model,
                              .version = request.version,
                              .endpoint = request.endpoint,
                              .verdict = verdict,
                              .generation = now - request.first_byte.value_or(now),
                              .completion_tokens = completion_tokens},
      now);
}

void table::end_attempt(request& request, environment const& environment) {
  environment.directory.finish_attempt(request.endpoint);
  m_attempts.erase(request.attempt);
  request.attempt = 0;
}

void table::fail(request& request, failure const& failure, base::monotonic_time now, effects& out) {
  auto reported = failure;
  if (reported.run_state == run_state::not_run) {
    // Only the log knows whether the key was used before, and there is no valid grant from it.
    bool const is_earlier_run_possible =
        request.holder && !request.is_claim_valid(m_options.claim_validity, now);
    if (request.may_have_run || is_earlier_run_possible) {
      reported.run_state = run_state::outcome_unknown;
    }
  }
  end_wait(request, now, out);
  if (reported.run_state == run_state::not_run) {
    record_tokens(request, 0);
  }
  bool const is_claimed = request.is_claim_granted || request.phase == phase::claiming;
  if (request.holder && is_claimed) {
    end_claim(request, reported.run_state, out);
  }
  out.emplace_back(reply_failure{.number = request.incoming.number,
                                 .failure = reported,
                                 .is_answer_started = request.is_answer_started,
                                 .customer = request.customer,
                                 .request_class = request.request_class,
                                 .request = request.id,
                                 .attempts = request.attempts,
                                 .endpoint = request.endpoint,
                                 .last_failure = request.last_failure,
                                 .took = now - request.arrived_at,
                                 .left = request.expires_at - now});
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
