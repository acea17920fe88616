#include <libraries/proxy/settings.h>
#include <services/proxy/answer_header.h>
#include <services/proxy/clock.h>
#include <services/proxy/exchange.h>
#include <services/proxy/relay_header.h>
#include <services/proxy/request_log.h>

#include <spdlog/spdlog.h>

namespace catkinlanding::proxy {

namespace {

using daemon::awaitable;
using daemon::completion;

/// Shortest time between two checks whether an attempt has stalled.
constexpr std::chrono::milliseconds stall_check_interval{20};
/// Time after a rejection until the next endpoint is asked to replace an attempt. Endpoints that
/// are full would else use up the attempts of the request at once, and it may need them.
constexpr std::chrono::milliseconds replacement_interval{250};

/// Where a request is sent by a decision to do so.
replacement target_of(decision const& decided) {
  if (auto const* relayed = std::get_if<relay>(&decided)) {
    return *relayed;
  }
  return std::get<attempt>(decided);
}

} // namespace

exchange::exchange(entry_context& context, daemon::tcp_stream& caller,
                   daemon::connections::open_connections::entry& connection,
                   incoming_request request)
    : m_context(context), m_caller(caller), m_request(std::move(request.message)),
      m_connection(connection), m_number(++context.last_request_number),
      m_started_at(request.arrived_at), m_last_byte_at(request.last_byte_at),
      m_forwarder(
          {.router = context.router,
           .memory = context.answer_memory,
           .caller = caller,
           .connection = connection,
           .number = m_number,
           .began_at = m_started_at,
           .is_replaced = [this] { return m_is_replaced; },
           .on_progress = [this] { note_progress(); },
           .on_final = [this] { release_request(); },
           .complete_header = [this](http_response_header& header) { complete_header(header); }}),
      m_deadline_timer(context.io), m_stall_timer(context.io), m_replacement_timer(context.io) {}

// g++ 12 takes Asio's allocation of a coroutine's frame, once inlined, for a mismatch with its
// deallocation.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

awaitable<bool> exchange::run() {
  m_keep_alive = m_request.keep_alive();
  auto facts = m_context.protocol_adapter.read_request(m_request.base());
  if (!facts) {
    spdlog::warn("entry refused request=- reason={}", name_of(facts.error()));
    http_response bad(http::status::bad_request, 11);
    co_return co_await m_forwarder.write(serialize_response(bad.base(), {}, m_keep_alive)) &&
        m_keep_alive;
  }
  facts->content_hash = content_hash_of(m_request);
  take_relay_headers(*facts);
  facts->waited = now() - m_started_at;
  m_caller_timeout = facts->caller_timeout;
  m_id = facts->id;
  m_session = facts->session.value;
  watch_for_caller_disconnect();
  co_await wait_for_state(*facts);
  if (m_is_caller_gone) {
    finish(request_end::caller_disconnected, "caller_left");
    co_return false;
  }
  auto decision = m_context.router.begin(m_number, std::move(*facts), now());
  while (true) {
    if (auto const* refused = std::get_if<refusal>(&decision)) {
      auto const copy = *refused;
      co_return co_await refuse(copy);
    }
    if (std::holds_alternative<forward_failure>(decision)) {
      co_return co_await deliver_failure_answer();
    }
    auto const failure = co_await transmit(decision);
    m_stall_timer.cancel();
    if (m_is_caller_gone) {
      finish(request_end::caller_disconnected, "caller_left");
      co_return false;
    }
    if (!failure) {
      bool const is_relayed = m_current->attempt() == nullptr;
      if (is_success(m_current->status()) && !is_relayed) {
        m_context.router.note_completed(m_number, now());
      }
      finish(request_end::answered, is_relayed ? "relayed" : "whole");
      co_return m_keep_alive && !m_context.is_stopping;
    }
    log_failure(*m_current, *failure, m_context.router.report_attempt(m_number, now()));
    m_current->close();
    decision = m_context.router.fail(m_number, *failure, m_forwarder.has_begun(), now());
  }
}

#pragma GCC diagnostic pop

awaitable<void> exchange::wait_for_state(request_facts& facts) {
  bool has_waited = false;
  while (auto const end = m_context.router.wait_for_state(facts, now())) {
    if (m_is_caller_gone) {
      co_return;
    }
    if (!has_waited) {
      auto const left =
          facts.caller_timeout ? std::optional(*facts.caller_timeout - facts.waited) : std::nullopt;
      request_log::awaiting_state(m_id, left);
    }
    has_waited = true;
    daemon::steady_timer timer(m_context.io);
    timer.expires_at(*end);
    m_context.state_wait_timers.insert(&timer);
    co_await timer.async_wait(completion);
    m_context.state_wait_timers.erase(&timer);
    facts.waited = now() - m_started_at;
  }
  if (has_waited) {
    request_log::waited(m_id, m_context.router, facts.waited);
  }
}

awaitable<bool> exchange::refuse(refusal refusal) {
  // For a request that was never sent to an endpoint, only the refusal has these.
  m_route = std::move(refusal.route);
  m_customer = std::move(refusal.customer.value);
  if (refusal.deferral) {
    request_log::deferred(m_id, *refusal.deferral);
  }
  if (refusal.quarantine) {
    request_log::quarantined(m_id, *refusal.quarantine);
  }
  if (m_forwarder.has_begun()) {
    // Close the connection without the last chunk, so that the caller detects the truncation.
    finish(request_end::interrupted, name_of(refusal.kind));
    co_return false;
  }
  auto answer = m_context.protocol_adapter.write_refusal(refusal);
  add_tally(answer.base());
  finish(request_end::refused, name_of(refusal.kind));
  bool const keep_alive = m_keep_alive && !m_context.is_stopping;
  if (m_is_relayed && refusal.kind == refusal_kind::stopping && m_attempts == 0) {
    add_stopping_header(answer.base());
  }
  co_return co_await m_forwarder.write(
      serialize_response(answer.base(), answer.body(), keep_alive)) &&
      keep_alive;
}

awaitable<bool> exchange::deliver_failure_answer() {
  if (!m_failure_answer || implies_not_executed(m_failure_answer->header.result_int())) {
    // The endpoint may have run the request, so the caller must not receive a status that denies
    // it.
    refusal const unknown{
        .kind = refusal_kind::outcome_unknown, .route = m_route, .customer = {m_customer}};
    co_return co_await refuse(unknown);
  }
  add_tally(m_failure_answer->header);
  finish(request_end::failed_answer, "endpoint_failed");
  bool const keep_alive = m_keep_alive && !m_context.is_stopping;
  co_return co_await m_forwarder.write(
      serialize_response(m_failure_answer->header, m_failure_answer->body, keep_alive)) &&
      keep_alive;
}

std::shared_ptr<upstream_request> exchange::prepare(replacement target,
                                                    upstream_request::purpose purpose) {
  ++m_attempts;
  if (auto const* sent = std::get_if<attempt>(&target)) {
    m_route = sent->route;
    m_customer = sent->customer ? sent->customer->value : "";
    start_deadline_timer(sent->deadline);
    request_log::attempt_started(m_id, m_session, *sent, now());
  } else {
    auto const& relayed = std::get<relay>(target);
    m_route = relayed.route;
    m_customer = relayed.customer.value;
    start_deadline_timer(relayed.deadline);
    request_log::relayed(m_id, relayed);
  }
  upstream_request::options options{.context = m_context,
                                    .forwarder = m_forwarder,
                                    .request = m_request,
                                    .id = m_id,
                                    .target = std::move(target),
                                    .purpose = purpose,
                                    .number = m_attempts};
  return std::make_shared<upstream_request>(std::move(options));
}

awaitable<std::optional<attempt_failure>> exchange::transmit(decision const& decision) {
  m_current = prepare(target_of(decision), upstream_request::purpose::next);
  start_stall_timer();
  auto failure = co_await m_current->ask();
  while (true) {
    if (!m_is_replaced) {
      take_notices(*m_current);
      if (!failure) {
        note_progress();
        failure = co_await deliver();
      }
    }
    if (m_is_replaced) {
      failure = m_held_reason;
    }
    if (!failure || m_is_caller_gone) {
      co_return std::nullopt;
    }
    failure = classify_failure(*failure);
    if (auto answer = m_current->take_failure_answer()) {
      m_failure_answer = std::move(answer);
    }
    if (!m_replacement) {
      co_return failure;
    }
    failure = co_await take_replacement(*failure);
  }
}

awaitable<std::optional<attempt_failure>> exchange::deliver() {
  auto const& metadata = m_current->metadata();
  // A second endpoint is asked only while connections are left for other requests.
  auto const confidence =
      metadata && !m_context.pool.is_crowded() ? metadata->confidence : std::nullopt;
  auto better = metadata ? m_context.router.note_answer(m_number, confidence, now()) : std::nullopt;
  log_model_choice();
  if (better) {
    hold(attempt_failure::low_confidence);
    begin_replacement(std::move(*better));
    co_await await_replacement();
  }
  if (m_is_replaced) {
    co_return std::nullopt;
  }
  // From here on the pauses between events count.
  start_stall_timer();
  auto const failure = co_await forward();
  if (!failure && !m_is_caller_gone && !m_is_replaced) {
    m_current->return_to_pool();
  }
  co_return failure;
}

void exchange::log_model_choice() {
  if (auto const made = m_context.router.take_model_choice(m_number)) {
    request_log::model_chosen(m_id, *made);
    m_context.metrics.count_model_choice(m_route, name_of(made->reason));
  }
}

awaitable<std::optional<attempt_failure>> exchange::forward() {
  bool const keep_alive = m_keep_alive && !m_context.is_stopping;
  auto& answer = m_current->answer();
  auto const result = m_current->is_event_stream()
                          ? co_await m_forwarder.forward_events(answer, keep_alive)
                          : co_await m_forwarder.forward_body(answer, keep_alive);
  switch (result) {
  case answer_forwarder::result::complete:
  case answer_forwarder::result::replaced:
    co_return std::nullopt;
  case answer_forwarder::result::caller_write_failed:
    m_is_caller_gone = true;
    co_return std::nullopt;
  case answer_forwarder::result::broken:
    co_return attempt_failure::broken;
  case answer_forwarder::result::malformed:
    co_return attempt_failure::malformed;
  }
  co_return attempt_failure::malformed;
}

void exchange::start_stall_timer(base::monotonic_time earliest) {
  auto const due = m_context.router.stall_deadline(m_number);
  if (!due) {
    return;
  }
  m_stall_timer.expires_at(std::max(*due, earliest));
  m_stall_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
    if (!error && !self->m_is_done) {
      self->on_stall();
    }
  });
}

void exchange::on_stall() {
  // While a write to the caller is pending nothing is read, so silence says nothing about the
  // endpoint.
  bool const is_judged = !m_forwarder.is_writing() && !m_is_replaced;
  if (is_judged && m_replacement) {
    auto const due = m_context.router.stall_deadline(m_number);
    if (due && now() >= *due) {
      drop_replacement(attempt_failure::stalled);
      return;
    }
  } else if (is_judged && !m_context.pool.is_crowded()) {
    hold(attempt_failure::stalled);
    if (auto found = m_context.router.try_replace_stalled(m_number, now())) {
      begin_replacement(std::move(*found));
      return;
    }
  }
  // An event has moved the deadline, by however little, or nothing else was to be had.
  start_stall_timer(now() + stall_check_interval);
}

void exchange::begin_replacement(replacement target) {
  m_replacement = prepare(std::move(target), upstream_request::purpose::replacement);
  if (m_is_caller_gone || m_is_expired) {
    m_replacement->close();
  }
  start_stall_timer();
  daemon::spawn(m_context.io, "entry", ask_replacement(shared_from_this(), m_replacement));
}

awaitable<void> exchange::ask_replacement(std::shared_ptr<exchange> /*self*/,
                                          std::shared_ptr<upstream_request> asked) {
  auto const failure = co_await asked->ask();
  if (m_is_done) {
    co_return;
  }
  if (asked == m_current && !m_is_replaced) {
    m_outcome = outcome{failure};
  } else if (asked != m_replacement) {
    co_return;
  } else if (!failure) {
    accept_replacement();
  } else if (m_is_expired || m_is_caller_gone) {
    withdraw_replacement();
  } else {
    take_notices(*asked);
    drop_replacement(*failure);
  }
  m_replacement_timer.cancel();
}

awaitable<void> exchange::await_replacement() {
  while (m_replacement && !m_is_replaced) {
    m_replacement_timer.expires_at(daemon::steady_timer::time_point::max());
    co_await m_replacement_timer.async_wait(completion);
  }
}

awaitable<std::optional<attempt_failure>> exchange::take_replacement(attempt_failure failure) {
  if (std::exchange(m_is_replaced, false)) {
    m_current = std::exchange(m_replacement, nullptr);
    co_return std::nullopt;
  }
  log_failure(*m_current, failure, m_held_report);
  m_current->close();
  m_context.router.fail_held(m_number, failure, now());
  // It may have to be replaced itself while it is asked.
  m_current = std::exchange(m_replacement, nullptr);
  m_outcome.reset();
  start_stall_timer();
  while (!m_outcome && !m_is_replaced) {
    m_replacement_timer.expires_at(daemon::steady_timer::time_point::max());
    co_await m_replacement_timer.async_wait(completion);
  }
  co_return m_outcome ? m_outcome->failure : std::nullopt;
}

void exchange::accept_replacement() {
  m_context.metrics.count_replacement("accepted");
  m_is_replaced = true;
  log_failure(*m_current, m_held_reason, m_held_report);
  m_context.router.accept_replacement(m_number, now());
  m_current->close();
}

void exchange::drop_replacement(attempt_failure failure) {
  m_context.metrics.count_replacement(name_of(failure));
  auto const dropped = std::exchange(m_replacement, nullptr);
  dropped->close();
  log_failure(*dropped, failure, m_context.router.report_attempt(m_number, now()));
  m_context.router.fail_replacement(m_number, failure, now());
  m_replacement_timer.cancel();
  start_stall_timer(now() + replacement_interval);
}

void exchange::withdraw_replacement() {
  m_context.metrics.count_replacement("withdrawn");
  auto const withdrawn = std::exchange(m_replacement, nullptr);
  withdrawn->close();
  request_log::attempt_withdrawn(m_id, withdrawn->number(),
                                 m_context.router.report_attempt(m_number, now()));
  m_context.router.withdraw_replacement(m_number, now());
  start_stall_timer(now() + stall_check_interval);
}

void exchange::note_progress() {
  if (m_replacement) {
    withdraw_replacement();
  }
}

void exchange::hold(attempt_failure reason) {
  m_held_reason = reason;
  m_held_report = m_context.router.report_attempt(m_number, now());
}

void exchange::close_upstream() {
  if (m_replacement) {
    m_replacement->close();
  }
  if (m_current) {
    // Closing the connection cancels the request at the endpoint.
    m_current->close();
  }
}

void exchange::finish(request_end end, std::string_view reason) {
  if (m_is_done) {
    return;
  }
  m_is_done = true;
  m_deadline_timer.cancel();
  m_stall_timer.cancel();
  if (m_replacement) {
    m_replacement->close();
  }
  boost::system::error_code ignored;
  // Cancels the disconnect watch, the only operation still pending on the caller's socket.
  m_caller.socket().cancel(ignored);
  auto const last_attempt = m_context.router.report_attempt(m_number, now());
  m_context.router.end(m_number, now());
  auto const took = now() - m_started_at;
  m_context.metrics.observe_request(m_customer, m_route, end, reason, took);
  if (auto const first = m_forwarder.timing().first_event()) {
    m_context.metrics.observe_stream(m_customer, m_route, *first,
                                     m_forwarder.timing().longest_pause());
  }
  request_log::ended({.id = m_id,
                      .end = end,
                      .reason = reason,
                      .route = m_route,
                      .customer = m_customer,
                      .attempts = m_attempts,
                      .events = m_forwarder.events().events(),
                      .first_event = m_forwarder.timing().first_event(),
                      .longest_pause = m_forwarder.timing().longest_pause(),
                      .took = took,
                      .last_failure = end == request_end::answered ? std::nullopt : m_last_failure,
                      .last_attempt = last_attempt,
                      .document = m_context.router.status_of_document(now())});
}

void exchange::log_failure(upstream_request const& failed, attempt_failure failure,
                           std::optional<attempt_report> const& report) {
  m_last_failure = failure;
  request_log::attempt_failed({.id = m_id,
                               .number = failed.number(),
                               .failure = failure,
                               .status = failed.status(),
                               .events = m_forwarder.events().events(),
                               .report = report});
}

} // namespace catkinlanding::proxy
