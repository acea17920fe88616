#include <libraries/proxy/settings.h>
#include <libraries/relays/proof.h>
#include <services/proxy/answer_header.h>
#include <services/proxy/clock.h>
#include <services/proxy/relay_header.h>
#include <services/proxy/upstream_request.h>

#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

namespace catkinlanding::proxy {

namespace {

using daemon::awaitable;
using daemon::completion;

/// Covers several round trips between the most distant zones.
constexpr std::chrono::milliseconds connect_timeout{250};
/// Bodies up to this size are read and discarded so that the connection can be reused.
constexpr std::size_t max_discarded_body_bytes = 16 * 1024;
/// Number of late answers to earlier requests that are skipped before the attempt fails.
constexpr int max_stale_answers = 2;

base::duration remaining_until(base::monotonic_time deadline) {
  return std::chrono::duration_cast<base::duration>(deadline - now());
}

} // namespace

awaitable<std::optional<attempt_failure>> upstream_request::ask() {
  if (m_is_closed) {
    co_return attempt_failure::unreachable;
  }
  if (auto const* sent = attempt()) {
    co_return co_await ask_endpoint(*sent);
  }
  co_return co_await ask_peer(std::get<relay>(m_options.target));
}

void upstream_request::close() {
  m_is_closed = true;
  if (m_connection) {
    m_connection->stream.close();
  }
}

void upstream_request::return_to_pool() {
  // Bytes after a complete answer belong to no request, so such a connection is not reused.
  bool const is_clean = attempt() != nullptr && m_answer->is_done() && m_answer->keep_alive() &&
                        m_connection->buffer.size() == 0 && m_connection->stream.socket().is_open();
  if (is_clean) {
    m_options.context.pool.release(std::move(m_connection), keep_alive_timeout(m_answer->header()),
                                   now());
  }
}

bool upstream_request::is_event_stream() const {
  auto const* sent = attempt();
  bool const is_stream =
      sent != nullptr ? sent->is_stream : std::get<relay>(m_options.target).is_stream;
  return is_stream && is_success(m_status);
}

std::optional<upstream_request::failure_answer> upstream_request::take_failure_answer() {
  return std::exchange(m_failure_answer, std::nullopt);
}

awaitable<upstream_request::result> upstream_request::ask_endpoint(proxy::attempt const& attempt) {
  auto& context = m_options.context;
  m_connection = context.pool.acquire(attempt.endpoint, attempt.address, now());
  if (!m_connection) {
    if (!co_await connect(attempt.endpoint, attempt.address)) {
      co_return attempt_failure::unreachable;
    }
    context.router.note_reached();
  }
  auto header = m_options.request.base();
  erase_hop_by_hop_headers(header);
  context.protocol_adapter.prepare_request_header(
      header, attempt, remaining_until(attempt.deadline), last_delivered_event());
  auto failure = co_await send(std::move(header));
  if (!failure) {
    failure = co_await read_header(attempt);
  }
  if (!failure) {
    failure = co_await judge_answer();
  }
  co_return failure;
}

awaitable<upstream_request::result> upstream_request::ask_peer(relay const& relay) {
  auto& context = m_options.context;
  base::address address = parse_address(relay.peer.value).value_or(base::address{});
  address.port = context.caller_port;
  base::endpoint_id const no_endpoint;
  // A connection of its own, so that nothing that comes late on it belongs to another request.
  if (!co_await connect(no_endpoint, address)) {
    co_return attempt_failure::unreachable;
  }
  auto header = m_options.request.base();
  erase_hop_by_hop_headers(header);
  context.protocol_adapter.prepare_relayed_header(header, relay, remaining_until(relay.deadline),
                                                  last_delivered_event());
  relay_tally const before{.attempts = relay.attempts_before, .endings = relay.endings_before};
  add_relay_header(
      header, before,
      relays::make_proof(context.router.relay_secret(), {.request_id = m_options.id.value,
                                                         .attempts = before.attempts,
                                                         .endings = before.endings}));
  if (auto const failure = co_await send(std::move(header))) {
    co_return failure;
  }
  bool const is_head_request = m_options.request.method() == http::verb::head;
  m_answer = std::make_unique<answer_reader>(*m_connection, context.answer_memory, is_head_request);
  if (auto const failure = co_await m_answer->read_header()) {
    co_return failure;
  }
  m_status = m_answer->header().result_int();
  m_tally = read_tally(m_answer->header());
  if (has_stopping_header(m_answer->header())) {
    co_return attempt_failure::not_executed;
  }
  bool const is_untrue = relay.may_have_run && implies_not_executed(m_status);
  bool const must_succeed =
      m_options.forwarder.has_begun() || m_options.purpose == purpose::replacement;
  if (!is_success(m_status) && (must_succeed || is_untrue)) {
    // Only events may follow in a stream that has begun, and the other instance does not know that
    // an endpoint may have executed the request before.
    co_return attempt_failure::failed_answer;
  }
  co_return std::nullopt;
}

awaitable<bool> upstream_request::connect(base::endpoint_id const& endpoint,
                                          base::address const& address) {
  m_connection = m_options.context.pool.create(m_options.context.io);
  m_connection->endpoint = endpoint;
  m_connection->address = address;
  m_options.context.metrics.count_connection();
  bool const is_open = co_await m_connection->open(connect_timeout);
  co_return is_open && !m_is_closed;
}

awaitable<upstream_request::result> upstream_request::send(http_request_header header) {
  auto const& whole = m_options.request;
  // The body is not copied.
  http::request<http::span_body<char const>> request;
  request.base() = std::move(header);
  request.body() = {whole.body().data(), whole.body().size()};
  if (!whole.body().empty() || whole.method() != http::verb::get) {
    request.content_length(whole.body().size());
  }
  auto const [error, written] =
      co_await http::async_write(m_connection->stream, request, completion);
  if (!error) {
    co_return std::nullopt;
  }
  // If no byte was written, the endpoint had already closed the connection.
  co_return written == 0 ? attempt_failure::unreachable : attempt_failure::broken;
}

awaitable<upstream_request::result> upstream_request::read_header(proxy::attempt const& attempt) {
  auto& context = m_options.context;
  bool const is_head_request = m_options.request.method() == http::verb::head;
  for (int stale_answers = 0; stale_answers <= max_stale_answers; ++stale_answers) {
    m_answer =
        std::make_unique<answer_reader>(*m_connection, context.answer_memory, is_head_request);
    if (auto const failure = co_await m_answer->read_header()) {
      co_return failure;
    }
    auto const& header = m_answer->header();
    auto metadata = context.protocol_adapter.read_answer(header, m_options.id, attempt.endpoint);
    if (metadata.matches_request) {
      m_status = header.result_int();
      m_metadata = std::move(metadata);
      co_return std::nullopt;
    }
    // This is a late answer to an earlier request; discard it and read the next one.
    base::memory_share memory(context.answer_memory);
    if (!co_await m_options.forwarder.read_body(*m_answer, max_discarded_body_bytes, memory)) {
      co_return attempt_failure::malformed;
    }
  }
  co_return attempt_failure::malformed;
}

awaitable<upstream_request::result> upstream_request::judge_answer() {
  auto& forwarder = m_options.forwarder;
  base::memory_share memory(m_options.context.answer_memory);
  if (m_metadata->is_wrong_endpoint || m_metadata->is_not_executed) {
    // A rejection that names no request could be repeated on this connection, and then be taken for
    // the answer to another request.
    if (m_metadata->names_request &&
        co_await forwarder.read_body(*m_answer, max_discarded_body_bytes, memory)) {
      return_to_pool();
    }
    co_return m_metadata->is_wrong_endpoint ? attempt_failure::wrong_endpoint
                                            : attempt_failure::not_executed;
  }
  bool const is_unwanted =
      m_options.purpose == purpose::replacement && !forwarder.has_begun() && !is_success(m_status);
  if (is_server_error(m_status) || implies_not_executed(m_status) || is_unwanted) {
    auto body =
        co_await forwarder.read_body(*m_answer, answer_forwarder::max_buffered_bytes, memory);
    if (!body) {
      co_return body.error();
    }
    return_to_pool();
    keep_failure_answer(std::move(*body), std::move(memory));
    co_return attempt_failure::failed_answer;
  }
  if (forwarder.has_begun() && !is_success(m_status)) {
    // The caller's stream has begun, and only further events may follow.
    co_return attempt_failure::failed_answer;
  }
  bool const is_encoded = m_answer->header().count(http::field::content_encoding) != 0;
  if (is_success(m_status) && (!m_metadata->is_sealed || is_encoded)) {
    co_return attempt_failure::malformed;
  }
  co_return std::nullopt;
}

void upstream_request::keep_failure_answer(std::string body, base::memory_share memory) {
  // Without the memory for its header the caller gets an answer of this instance instead.
  if (memory.try_resize(memory.bytes() + memory_of(m_answer->header()))) {
    m_failure_answer = failure_answer{m_answer->header(), std::move(body), std::move(memory)};
    erase_hop_by_hop_headers(m_failure_answer->header);
  }
}

std::optional<std::string> upstream_request::last_delivered_event() const {
  auto const& forwarder = m_options.forwarder;
  return forwarder.has_begun() ? forwarder.events().last_id() : std::nullopt;
}

} // namespace catkinlanding::proxy
