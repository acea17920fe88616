#include <libraries/claims/registry.h>
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
    request.is_large_answer =
        request.buffered.size() >
        std::max(m_options.max_rated_answer_bytes, claims::registry::max_stored_answer_bytes);
    request.final_effects.emplace_back(reply_data{
        .number = number,
        .bytes = request.is_large_answer ? std::move(request.buffered) : request.buffered});
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
  bool const is_ratable = request.status == ok && !request.is_large_answer &&
                          answer.size() <= m_options.max_rated_answer_bytes;
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
  bool const is_stored = !request.is_large_answer &&
                         request.buffered.size() <= claims::registry::max_stored_answer_bytes;
  if (is_stored) {
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

} // namespace catkinlanding::requests
