#include <libraries/proxy/settings.h>
#include <services/proxy/answer_header.h>
#include <services/proxy/clock.h>
#include <services/proxy/exchange.h>
#include <services/proxy/relay_header.h>
#include <services/proxy/request_log.h>
#include <services/proxy/socket_state.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <spdlog/spdlog.h>

namespace catkinlanding::proxy {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using daemon::awaitable;
using daemon::completion;

/// Covers several round trips between the most distant zones.
constexpr std::chrono::milliseconds connect_timeout{250};
/// Shortest time between two checks whether an attempt has stalled.
constexpr std::chrono::milliseconds stall_check_interval{20};
/// Bodies up to this size are read and discarded so that the connection can be reused.
constexpr std::size_t max_discarded_body_bytes = 16 * 1024;
/// Number of late answers to earlier requests that are skipped before the attempt fails.
constexpr int max_stale_answers = 2;

} // namespace

exchange::exchange(entry_context& context, daemon::tcp_stream& caller, incoming_request request)
    : m_context(context), m_caller(caller), m_request(std::move(request.message)),
      m_number(++context.last_request_number), m_started_at(request.arrived_at),
      m_last_byte_at(request.last_byte_at),
      m_forwarder(context.router, context.answer_memory, caller, m_number, m_started_at),
      m_deadline_timer(context.io), m_stall_timer(context.io) {}

awaitable<bool> exchange::run() {
  m_keep_alive = m_request.keep_alive();
  auto const attempts_before = take_relay_header(m_request.base());
  auto facts = m_context.protocol_adapter.read_request(m_request.base());
  if (!facts) {
    spdlog::warn("entry refused request=- reason={}", name_of(facts.error()));
    http_response bad(http::status::bad_request, 11);
    co_return co_await m_forwarder.write(serialize_response(bad.base(), {}, m_keep_alive)) &&
        m_keep_alive;
  }
  facts->content_hash = content_hash_of(m_request);
  facts->is_relayed = attempts_before.has_value();
  m_is_relayed = facts->is_relayed;
  facts->attempts_before = attempts_before.value_or(0);
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
      co_return co_await deliver_stored_failure();
    }
    auto const* relayed = std::get_if<relay>(&decision);
    auto const failure = relayed != nullptr ? co_await run_relay(*relayed)
                                            : co_await run_attempt(std::get<attempt>(decision));
    if (m_is_caller_gone) {
      finish(request_end::caller_disconnected, "caller_left");
      co_return false;
    }
    if (!failure) {
      if (is_success(m_answer_status) && !relayed) {
        m_context.router.note_completed(m_number, now());
      }
      finish(request_end::answered, relayed != nullptr ? "relayed" : "whole");
      co_return m_keep_alive && !m_context.is_stopping;
    }
    request_log::attempt_failed(m_id, m_attempts, *failure, m_answer_status,
                                m_forwarder.events().events());
    decision = m_context.router.fail(m_number, *failure, m_forwarder.has_begun(), now());
  }
}

awaitable<void> exchange::wait_for_state(request_facts& facts) {
  bool has_waited = false;
  while (auto const end = m_context.router.wait_for_state(facts, now())) {
    if (m_is_caller_gone) {
      co_return;
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
  finish(request_end::refused, name_of(refusal.kind));
  bool const keep_alive = m_keep_alive && !m_context.is_stopping;
  auto answer = m_context.protocol_adapter.write_refusal(refusal);
  if (m_is_relayed && refusal.kind == refusal_kind::stopping && m_attempts == 0) {
    add_stopping_header(answer.base());
  }
  co_return co_await m_forwarder.write(
      serialize_response(answer.base(), answer.body(), keep_alive)) &&
      keep_alive;
}

awaitable<bool> exchange::deliver_stored_failure() {
  if (!m_stored_failure || implies_not_executed(m_stored_failure->header.result_int())) {
    // The endpoint may have run the request, so the caller must not receive a status that denies
    // it.
    refusal const unknown{
        .kind = refusal_kind::outcome_unknown, .route = m_route, .customer = {m_customer}};
    co_return co_await refuse(unknown);
  }
  finish(request_end::failed_answer, "endpoint_failed");
  bool const keep_alive = m_keep_alive && !m_context.is_stopping;
  co_return co_await m_forwarder.write(
      serialize_response(m_stored_failure->header, m_stored_failure->body, keep_alive)) &&
      keep_alive;
}

awaitable<std::optional<attempt_failure>> exchange::run_attempt(attempt attempt) {
  ++m_attempts;
  m_route = attempt.route;
  m_customer = attempt.customer ? attempt.customer->value : "";
  m_is_stalled = false;
  m_answer_status = 0;
  start_deadline_timer(attempt.deadline);
  start_stall_timer();
  request_log::attempt_started(m_id, m_session, attempt, now());
  m_upstream = m_context.pool.acquire(attempt.endpoint, attempt.address, now());
  if (!m_upstream) {
    if (!co_await connect(attempt.endpoint, attempt.address)) {
      m_upstream.reset();
      co_return classify_failure(attempt_failure::unreachable);
    }
    m_context.router.note_reached();
  }
  auto failure = co_await send_request(attempt);
  if (!failure) {
    failure = co_await read_header(attempt);
  }
  if (!failure) {
    failure = co_await forward_answer(attempt);
  }
  m_stall_timer.cancel();
  m_answer.reset();
  m_upstream.reset();
  if (failure) {
    co_return classify_failure(*failure);
  }
  co_return std::nullopt;
}

awaitable<std::optional<attempt_failure>> exchange::run_relay(relay relay) {
  m_route = relay.route;
  m_customer = relay.customer.value;
  m_is_stalled = false;
  m_answer_status = 0;
  start_deadline_timer(relay.deadline);
  request_log::relayed(m_id, relay);
  base::address address = parse_address(relay.peer.value).value_or(base::address{});
  address.port = m_context.caller_port;
  base::endpoint_id const no_endpoint;
  // A connection of its own, so that nothing that comes late on it belongs to another request.
  std::optional<attempt_failure> failure = attempt_failure::unreachable;
  if (co_await connect(no_endpoint, address)) {
    failure = co_await send_to_peer(relay);
    if (!failure) {
      failure = co_await forward_peer_answer(relay);
    }
  }
  m_answer.reset();
  m_upstream.reset();
  if (failure) {
    co_return classify_failure(*failure);
  }
  co_return std::nullopt;
}

awaitable<std::optional<attempt_failure>> exchange::send_to_peer(relay const& relay) {
  auto header = m_request.base();
  erase_hop_by_hop_headers(header);
  m_context.protocol_adapter.prepare_relayed_header(header, remaining_until(relay.deadline),
                                                    last_delivered_event());
  add_relay_header(header, relay.attempts_before);
  co_return co_await send(std::move(header));
}

awaitable<std::optional<attempt_failure>> exchange::forward_peer_answer(relay const& relay) {
  m_answer = std::make_unique<answer_reader>(*m_upstream, m_context.answer_memory,
                                             m_request.method() == http::verb::head);
  if (auto const failure = co_await m_answer->read_header()) {
    co_return failure;
  }
  m_answer_status = m_answer->header().result_int();
  if (has_stopping_header(m_answer->header())) {
    co_return attempt_failure::not_executed;
  }
  bool const is_whole_failure = !is_success(m_answer_status);
  bool const is_untrue = relay.may_have_run && implies_not_executed(m_answer_status);
  if (is_whole_failure && (m_forwarder.has_begun() || is_untrue)) {
    // Only events may follow in a stream that has begun, and the other instance does not know that
    // an endpoint may have executed the request before.
    co_return attempt_failure::failed_answer;
  }
  co_return co_await forward(relay.is_stream && !is_whole_failure);
}

awaitable<bool> exchange::connect(base::endpoint_id const& endpoint, base::address const& address) {
  m_upstream = std::make_unique<upstream_connection>(m_context.io);
  m_upstream->endpoint = endpoint;
  m_upstream->address = address;
  m_context.metrics.count_connection();
  bool const is_open = co_await m_upstream->open(connect_timeout);
  co_return is_open && !m_is_expired && !m_is_caller_gone;
}

awaitable<std::optional<attempt_failure>> exchange::send_request(attempt const& attempt) {
  auto header = m_request.base();
  erase_hop_by_hop_headers(header);
  m_context.protocol_adapter.prepare_request_header(
      header, attempt, remaining_until(attempt.deadline), last_delivered_event());
  co_return co_await send(std::move(header));
}

base::duration exchange::remaining_until(base::monotonic_time deadline) {
  return std::chrono::duration_cast<base::duration>(deadline - now());
}

std::optional<std::string> exchange::last_delivered_event() const {
  return m_forwarder.has_begun() ? m_forwarder.events().last_id() : std::nullopt;
}

awaitable<std::optional<attempt_failure>> exchange::send(http_request_header header) {
  // The body is not copied.
  http::request<http::span_body<char const>> request;
  request.base() = std::move(header);
  request.body() = {m_request.body().data(), m_request.body().size()};
  if (!m_request.body().empty() || m_request.method() != http::verb::get) {
    request.content_length(m_request.body().size());
  }
  auto const [error, written] = co_await http::async_write(m_upstream->stream, request, completion);
  if (!error) {
    co_return std::nullopt;
  }
  // If no byte was written, the endpoint had already closed the connection.
  co_return written == 0 ? attempt_failure::unreachable : attempt_failure::broken;
}

awaitable<std::optional<attempt_failure>> exchange::read_header(attempt const& attempt) {
  for (int stale_answers = 0; stale_answers <= max_stale_answers; ++stale_answers) {
    bool const is_head_request = m_request.method() == http::verb::head;
    m_answer =
        std::make_unique<answer_reader>(*m_upstream, m_context.answer_memory, is_head_request);
    if (auto const failure = co_await m_answer->read_header()) {
      co_return failure;
    }
    auto const& header = m_answer->header();
    auto const metadata = m_context.protocol_adapter.read_answer(header, m_id, attempt.endpoint);
    if (metadata.matches_request) {
      m_answer_status = header.result_int();
      take_notices(metadata, attempt);
      co_return std::nullopt;
    }
    // This is a late answer to an earlier request; discard it and read the next one.
    base::memory_share memory(m_context.answer_memory);
    if (!co_await m_forwarder.read_body(*m_answer, max_discarded_body_bytes, memory)) {
      co_return attempt_failure::malformed;
    }
  }
  co_return attempt_failure::malformed;
}

awaitable<std::optional<attempt_failure>> exchange::forward_answer(attempt const& attempt) {
  auto const& header = m_answer->header();
  auto const status = header.result_int();
  auto const metadata = m_context.protocol_adapter.read_answer(header, m_id, attempt.endpoint);
  base::memory_share memory(m_context.answer_memory);
  if (metadata.is_wrong_endpoint || metadata.is_not_executed) {
    // A rejection that names no request could be repeated on this connection, and then be taken for
    // the answer to another request.
    if (metadata.names_request &&
        co_await m_forwarder.read_body(*m_answer, max_discarded_body_bytes, memory)) {
      return_upstream_to_pool();
    }
    co_return metadata.is_wrong_endpoint ? attempt_failure::wrong_endpoint
                                         : attempt_failure::not_executed;
  }
  if (is_server_error(status) || implies_not_executed(status)) {
    auto body =
        co_await m_forwarder.read_body(*m_answer, answer_forwarder::max_buffered_bytes, memory);
    if (!body) {
      co_return body.error();
    }
    return_upstream_to_pool();
    store_failure(std::move(*body), std::move(memory));
    co_return attempt_failure::failed_answer;
  }
  if (m_forwarder.has_begun() && !is_success(status)) {
    // The caller's stream has begun, and only further events may follow.
    co_return attempt_failure::failed_answer;
  }
  bool const is_encoded = header.count(http::field::content_encoding) != 0;
  if (is_success(status) && (!metadata.is_sealed || is_encoded)) {
    co_return attempt_failure::malformed;
  }
  if (!m_context.router.note_answer(m_number, metadata.confidence, now())) {
    co_return attempt_failure::low_confidence;
  }
  // From here on the pauses between events count.
  start_stall_timer();
  bool const is_stream = attempt.is_stream && is_success(status);
  auto const failure = co_await forward(is_stream);
  if (!failure && !m_is_caller_gone) {
    return_upstream_to_pool();
  }
  co_return failure;
}

awaitable<std::optional<attempt_failure>> exchange::forward(bool is_stream) {
  bool const keep_alive = m_keep_alive && !m_context.is_stopping;
  auto const result = is_stream ? co_await m_forwarder.forward_events(*m_answer, keep_alive)
                                : co_await m_forwarder.forward_body(*m_answer, keep_alive);
  switch (result) {
  case answer_forwarder::result::complete:
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

void exchange::store_failure(std::string body, base::memory_share memory) {
  m_stored_failure.reset();
  // Without the memory for its header the caller gets an answer of this instance instead.
  if (memory.try_resize(memory.bytes() + memory_of(m_answer->header()))) {
    m_stored_failure = stored_failure{m_answer->header(), std::move(body), std::move(memory)};
    erase_hop_by_hop_headers(m_stored_failure->header);
  }
}

attempt_failure exchange::classify_failure(attempt_failure failure) const {
  // A failure caused by the deadline says nothing about the endpoint.
  if (m_is_expired) {
    return attempt_failure::expired;
  }
  return m_is_stalled ? attempt_failure::stalled : failure;
}

void exchange::return_upstream_to_pool() {
  // Bytes after a complete answer belong to no request, so such a connection is not reused.
  bool const is_clean = m_answer->is_done() && m_answer->keep_alive() &&
                        m_upstream->buffer.size() == 0 && m_upstream->stream.socket().is_open();
  if (is_clean) {
    m_context.pool.release(std::move(m_upstream), keep_alive_timeout(m_answer->header()), now());
  }
}

void exchange::watch_for_caller_disconnect() {
  m_caller.socket().async_wait(daemon::tcp_socket::wait_read,
                               [self = shared_from_this()](boost::system::error_code error) {
                                 if (error || self->m_is_done) {
                                   return;
                                 }
                                 if (state_of(self->m_caller.socket()) == socket_state::closed) {
                                   self->m_is_caller_gone = true;
                                   self->close_upstream();
                                 }
                               });
}

void exchange::start_deadline_timer(base::monotonic_time deadline) {
  m_deadline_timer.expires_at(deadline);
  m_deadline_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
    if (!error && !self->m_is_done) {
      self->m_is_expired = true;
      self->close_upstream();
    }
  });
}

void exchange::start_stall_timer(base::monotonic_time earliest) {
  auto const due = m_context.router.stall_deadline(m_number);
  if (!due) {
    return;
  }
  m_stall_timer.expires_at(std::max(*due, earliest));
  m_stall_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
    if (error || self->m_is_done || !self->m_upstream) {
      return;
    }
    if (self->m_context.router.try_abandon_stalled(self->m_number, now())) {
      self->m_is_stalled = true;
      self->close_upstream();
      return;
    }
    // An event has moved the deadline, by however little, or no retry was left.
    self->start_stall_timer(now() + stall_check_interval);
  });
}

void exchange::close_upstream() {
  if (m_upstream) {
    // Closing the connection cancels the request at the endpoint.
    m_upstream->stream.close();
  }
}

void exchange::finish(request_end end, std::string_view reason) {
  if (m_is_done) {
    return;
  }
  m_is_done = true;
  m_deadline_timer.cancel();
  m_stall_timer.cancel();
  boost::system::error_code ignored;
  // Cancels the disconnect watch, the only operation still pending on the caller's socket.
  m_caller.socket().cancel(ignored);
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
                      .document = m_context.router.status_of_document(now())});
}

void exchange::take_notices(answer_metadata const& metadata, attempt const& attempt) {
  if (metadata.is_wrong_endpoint) {
    return;
  }
  for (auto const kind : metadata.unreadable_notices) {
    m_context.metrics.count_notice("unreadable");
    request_log::notice_ignored(m_id, attempt, kind);
  }
  for (auto const& change : m_context.router.note_notice(m_number, metadata.notice, now())) {
    m_context.metrics.count_notice(name_of(change.kind));
    request_log::notice_taken(m_id, attempt, change);
  }
}

} // namespace catkinlanding::proxy
