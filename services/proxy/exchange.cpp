#include <services/proxy/clock.h>
#include <services/proxy/exchange.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>

namespace catkinlanding::proxy {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using daemon::awaitable;
using daemon::completion;

/// Several round trips between the farthest zones.
constexpr std::chrono::milliseconds connect_timeout{250};
/// A caller that takes nothing for so long is given up.
constexpr std::chrono::seconds write_timeout{10};
/// Answers up to this size are read whole before their first byte is passed on, so that a torn one
/// can still be replaced.
constexpr std::size_t largest_whole_answer = 64 * 1024;
/// Bodies of refusals that are read so that the connection can be used again.
constexpr std::size_t largest_dropped_body = 16 * 1024;
constexpr std::uint32_t largest_answer_header = 32 * 1024;
/// Late answers to earlier requests that are skipped before a connection is given up.
constexpr int most_skipped_answers = 2;
constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;
constexpr unsigned first_server_failure = 500;

bool is_success(unsigned status) {
  return status >= first_success && status < first_redirect;
}

/// Statuses by which a caller is told that its request did not run.
bool is_promise(unsigned status) {
  constexpr unsigned request_timeout = 408;
  constexpr unsigned misdirected = 421;
  constexpr unsigned too_many = 429;
  constexpr unsigned unavailable = 503;
  return status == request_timeout || status == misdirected || status == too_many ||
         status == unavailable;
}

std::int64_t whole_milliseconds(base::duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// For how long the endpoint keeps an idle connection, where it says so.
base::duration keep_alive_timeout(http_response_header const& header) {
  constexpr std::string_view parameter = "timeout=";
  std::string_view const value = header[http::field::keep_alive];
  auto const place = value.find(parameter);
  if (place == std::string_view::npos) {
    return base::duration::zero();
  }
  std::int64_t seconds = 0;
  auto const digits = value.substr(place + parameter.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::chrono::seconds(seconds);
}

} // namespace

exchange::exchange(entry_context& context, daemon::tcp_stream& caller, http_request request)
    : m_context(context), m_caller(caller), m_request(std::move(request)),
      m_number(++context.last_request), m_began_at(now()), m_deadline(context.io),
      m_stall(context.io), m_pace(m_began_at) {}

awaitable<bool> exchange::run() {
  m_keeps_caller = m_request.keep_alive();
  auto facts = m_context.dialect.read_request(m_request.base());
  if (!facts) {
    spdlog::warn("entry refused request=- reason={}", name_of(facts.error()));
    http_response bad(http::status::bad_request, 11);
    co_return co_await write(render_whole(bad.base(), {}, m_keeps_caller)) && m_keeps_caller;
  }
  m_id = facts->id;
  m_session = facts->session.value;
  watch_caller();
  co_await wait_for_state(*facts);
  if (m_caller_left) {
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
    auto const next = std::get<attempt>(decision);
    auto const failure = co_await perform(next);
    if (m_caller_left) {
      finish(request_end::caller_disconnected, "caller_left");
      co_return false;
    }
    if (!failure) {
      finish(request_end::answered, "whole");
      co_return m_keeps_caller && !m_context.is_stopping;
    }
    log_failure(*failure);
    decision = m_context.router.fail(m_number, *failure, m_head_sent, now());
  }
}

awaitable<void> exchange::wait_for_state(request_facts& facts) {
  bool has_waited = false;
  while (auto const end = m_context.router.wait_for_state(facts, now())) {
    if (m_caller_left) {
      co_return;
    }
    has_waited = true;
    daemon::steady_timer timer(m_context.io);
    timer.expires_at(*end);
    m_context.waiting.insert(&timer);
    co_await timer.async_wait(completion);
    m_context.waiting.erase(&timer);
    facts.waited = now() - m_began_at;
  }
  if (has_waited) {
    spdlog::info("entry waited request={} revision={} endpoints={} waited_ms={}", m_id.value,
                 m_context.router.document_revision(), m_context.router.endpoint_count(),
                 whole_milliseconds(facts.waited));
  }
}

awaitable<bool> exchange::refuse(refusal refusal) {
  // A request that was never sent anywhere has these from its refusal only.
  m_route = std::move(refusal.route);
  m_customer = std::move(refusal.customer.value);
  if (m_head_sent) {
    // What was sent must not look like a whole answer.
    finish(request_end::interrupted, name_of(refusal.kind));
    co_return false;
  }
  finish(request_end::refused, name_of(refusal.kind));
  bool const keeps = m_keeps_caller && !m_context.is_stopping;
  auto const answer = m_context.dialect.refuse(refusal);
  co_return co_await write(render_whole(answer.base(), answer.body(), keeps)) && keeps;
}

awaitable<bool> exchange::deliver_stored_failure() {
  if (!m_failure || is_promise(m_failure->header.result_int())) {
    // The endpoint ran the request, so its caller must not read that it did not.
    refusal const unknown{
        .kind = refusal_kind::outcome_unknown, .route = m_route, .customer = {m_customer}};
    co_return co_await refuse(unknown);
  }
  finish(request_end::failed_answer, "endpoint_failed");
  bool const keeps = m_keeps_caller && !m_context.is_stopping;
  co_return co_await write(render_whole(m_failure->header, m_failure->body, keeps)) && keeps;
}

awaitable<std::optional<attempt_failure>> exchange::perform(attempt attempt) {
  ++m_attempts;
  m_route = attempt.route;
  m_customer = attempt.customer ? attempt.customer->value : "";
  m_is_stalled = false;
  watch_deadline(attempt.deadline);
  watch_progress();
  log_attempt(attempt);
  m_upstream = m_context.pool.take(attempt.endpoint, attempt.address, now());
  if (!m_upstream && !co_await connect(attempt)) {
    m_upstream.reset();
    co_return failure_after(attempt_failure::unreachable);
  }
  auto failure = co_await send(attempt);
  if (!failure) {
    failure = co_await read_head(attempt);
  }
  if (!failure) {
    failure = co_await pass_answer(attempt);
  }
  m_stall.cancel();
  m_parser.reset();
  m_upstream.reset();
  if (failure) {
    co_return failure_after(*failure);
  }
  co_return std::nullopt;
}

awaitable<bool> exchange::connect(attempt const& attempt) {
  m_upstream = std::make_unique<upstream>(m_context.io);
  m_upstream->endpoint = attempt.endpoint;
  m_upstream->address = attempt.address;
  boost::system::error_code error;
  auto const ip = asio::ip::make_address(attempt.address.ip, error);
  if (error) {
    co_return false;
  }
  m_context.metrics.count_connection();
  m_upstream->stream.expires_after(connect_timeout);
  asio::ip::tcp::endpoint const target{ip, attempt.address.port};
  auto const [failed] = co_await m_upstream->stream.async_connect(target, completion);
  if (failed || m_is_expired || m_caller_left) {
    co_return false;
  }
  m_upstream->stream.expires_never();
  m_upstream->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return true;
}

awaitable<std::optional<attempt_failure>> exchange::send(attempt const& attempt) {
  http::request<http::string_body> sent;
  sent.base() = m_request.base();
  erase_connection_headers(sent.base());
  auto const left = std::chrono::duration_cast<base::duration>(attempt.deadline - now());
  auto const last_event = m_head_sent ? m_events.last_id() : std::nullopt;
  m_context.dialect.prepare_attempt(sent.base(), attempt, left, last_event);
  sent.body() = m_request.body();
  if (!sent.body().empty() || m_request.method() != http::verb::get) {
    sent.content_length(sent.body().size());
  }
  auto const [error, written] = co_await http::async_write(m_upstream->stream, sent, completion);
  if (!error) {
    co_return std::nullopt;
  }
  // Where the first write fails at once, the endpoint had closed the connection before.
  co_return written == 0 ? attempt_failure::unreachable : attempt_failure::broken;
}

awaitable<std::optional<attempt_failure>> exchange::read_head(attempt const& attempt) {
  for (int skipped = 0; skipped <= most_skipped_answers; ++skipped) {
    m_parser = std::make_unique<answer_parser>();
    m_parser->header_limit(largest_answer_header);
    m_parser->body_limit(boost::none);
    if (m_request.method() == http::verb::head) {
      m_parser->skip(true);
    }
    auto const [error, size] = co_await http::async_read_header(
        m_upstream->stream, m_upstream->buffer, *m_parser, completion);
    if (error) {
      bool const is_torn = error.category() != http::make_error_code(http::error{}).category() ||
                           error == http::error::end_of_stream ||
                           error == http::error::partial_message;
      co_return is_torn ? attempt_failure::broken : attempt_failure::malformed;
    }
    auto const& header = m_parser->get().base();
    if (header.result_int() < first_success) {
      --skipped;
      continue;
    }
    auto const facts = m_context.dialect.read_answer(header, m_id, attempt.endpoint);
    if (facts.is_for_request) {
      co_return std::nullopt;
    }
    // A late answer to an earlier request; this one's comes behind it.
    if (!co_await read_body(largest_dropped_body)) {
      co_return attempt_failure::malformed;
    }
  }
  co_return attempt_failure::malformed;
}

awaitable<std::optional<attempt_failure>> exchange::pass_answer(attempt const& attempt) {
  auto const header = m_parser->get().base();
  auto const status = header.result_int();
  auto const facts = m_context.dialect.read_answer(header, m_id, attempt.endpoint);
  if (facts.is_wrong_endpoint || facts.is_not_executed) {
    if (co_await read_body(largest_dropped_body)) {
      keep_upstream();
    }
    co_return facts.is_wrong_endpoint ? attempt_failure::wrong_endpoint
                                      : attempt_failure::not_executed;
  }
  if (status >= first_server_failure || is_promise(status)) {
    auto body = co_await read_body(largest_whole_answer);
    if (!body) {
      co_return attempt_failure::broken;
    }
    keep_upstream();
    m_failure = failure_answer{header, std::move(*body)};
    erase_connection_headers(m_failure->header);
    co_return attempt_failure::failed_answer;
  }
  bool const is_encoded = header.count(http::field::content_encoding) != 0;
  if (is_success(status) && (!facts.is_sealed || is_encoded)) {
    co_return attempt_failure::malformed;
  }
  if (!m_context.router.note_answer(m_number, facts.confidence, now())) {
    co_return attempt_failure::low_confidence;
  }
  bool const is_stream = attempt.is_stream && is_success(status);
  auto const result = is_stream ? co_await pass_stream() : co_await pass_whole();
  if (result == pass_result::caller_failed) {
    m_caller_left = true;
    co_return std::nullopt;
  }
  if (result == pass_result::broken) {
    co_return attempt_failure::broken;
  }
  keep_upstream();
  co_return std::nullopt;
}

awaitable<exchange::pass_result> exchange::pass_whole() {
  auto header = m_parser->get().base();
  erase_connection_headers(header);
  std::string body;
  while (body.size() <= largest_whole_answer && !m_parser->is_done()) {
    auto const piece = co_await read_some();
    if (!piece) {
      co_return pass_result::broken;
    }
    body.append(*piece);
  }
  bool const keeps = m_keeps_caller && !m_context.is_stopping;
  if (m_parser->is_done()) {
    m_head_sent = true;
    bool const is_written = co_await write(render_whole(header, body, keeps));
    co_return is_written ? pass_result::whole : pass_result::caller_failed;
  }
  m_head_sent = true;
  if (!co_await write(render_chunked_head(header, keeps) + render_chunk(body))) {
    co_return pass_result::caller_failed;
  }
  while (!m_parser->is_done()) {
    auto const piece = co_await read_some();
    if (!piece) {
      co_return pass_result::broken;
    }
    if (!co_await write_body(*piece)) {
      co_return pass_result::caller_failed;
    }
  }
  bool const is_written = co_await write(std::string(last_chunk));
  co_return is_written ? pass_result::whole : pass_result::caller_failed;
}

awaitable<exchange::pass_result> exchange::pass_stream() {
  auto header = m_parser->get().base();
  erase_connection_headers(header);
  m_events.drop_partial();
  bool const keeps = m_keeps_caller && !m_context.is_stopping;
  while (!m_parser->is_done()) {
    auto const piece = co_await read_some();
    if (!piece) {
      co_return pass_result::broken;
    }
    auto whole = m_events.take(*piece);
    if (whole.empty()) {
      continue;
    }
    auto bytes = render_chunk(whole);
    if (!m_head_sent) {
      // The head waits for the first event, so that an attempt that makes none can be replaced.
      bytes.insert(0, render_chunked_head(header, keeps));
      m_head_sent = true;
    }
    if (!co_await write(std::move(bytes))) {
      co_return pass_result::caller_failed;
    }
    m_pace.note_delivery(now());
  }
  if (m_events.partial_bytes() != 0) {
    co_return pass_result::broken;
  }
  std::string ending(last_chunk);
  if (!m_head_sent) {
    ending.insert(0, render_chunked_head(header, keeps));
    m_head_sent = true;
  }
  co_return co_await write(std::move(ending)) ? pass_result::whole : pass_result::caller_failed;
}

awaitable<std::optional<std::string>> exchange::read_body(std::size_t most) {
  std::string body;
  while (!m_parser->is_done()) {
    auto const piece = co_await read_some();
    if (!piece || body.size() + piece->size() > most) {
      co_return std::nullopt;
    }
    body.append(*piece);
  }
  co_return body;
}

awaitable<std::optional<std::string_view>> exchange::read_some() {
  auto& body = m_parser->get().body();
  body.data = m_piece.data();
  body.size = m_piece.size();
  body.more = true;
  auto const [error, size] =
      co_await http::async_read_some(m_upstream->stream, m_upstream->buffer, *m_parser, completion);
  if (error && error != http::error::need_buffer) {
    co_return std::nullopt;
  }
  m_context.router.note_progress(m_number, now());
  co_return std::string_view(m_piece.data(), m_piece.size() - body.size);
}

awaitable<bool> exchange::write(std::string bytes) {
  m_caller.expires_after(write_timeout);
  auto const [error, size] = co_await asio::async_write(m_caller, asio::buffer(bytes), completion);
  co_return !error;
}

awaitable<bool> exchange::write_body(std::string_view bytes) {
  if (bytes.empty()) {
    co_return true;
  }
  co_return co_await write(render_chunk(bytes));
}

attempt_failure exchange::failure_after(attempt_failure failure) const {
  // What failed because the time was over tells nothing of the endpoint.
  if (m_is_expired) {
    return attempt_failure::expired;
  }
  return m_is_stalled ? attempt_failure::stalled : failure;
}

void exchange::keep_upstream() {
  // Bytes behind a whole answer belong to no request.
  bool const is_clean = m_parser->is_done() && m_parser->keep_alive() &&
                        m_upstream->buffer.size() == 0 && m_upstream->stream.socket().is_open();
  if (is_clean) {
    m_context.pool.keep(std::move(m_upstream), keep_alive_timeout(m_parser->get().base()), now());
  }
}

void exchange::watch_caller() {
  m_caller.socket().async_wait(
      daemon::tcp_socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
        if (error || self->m_is_done) {
          return;
        }
        char byte = 0;
        auto const received = ::recv(self->m_caller.socket().native_handle(), &byte, sizeof(byte),
                                     MSG_PEEK | MSG_DONTWAIT);
        bool const has_left =
            received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        if (has_left) {
          self->m_caller_left = true;
          self->stop_upstream();
        }
      });
}

void exchange::watch_deadline(base::monotonic_time deadline) {
  m_deadline.expires_at(deadline);
  m_deadline.async_wait([self = shared_from_this()](boost::system::error_code error) {
    if (!error && !self->m_is_done) {
      self->m_is_expired = true;
      self->stop_upstream();
    }
  });
}

void exchange::watch_progress() {
  auto const due = m_context.router.stall_deadline(m_number);
  if (!due) {
    return;
  }
  m_stall.expires_at(*due);
  m_stall.async_wait([self = shared_from_this()](boost::system::error_code error) {
    if (error || self->m_is_done || !self->m_upstream) {
      return;
    }
    if (self->m_context.router.try_abandon_stalled(self->m_number, now())) {
      self->m_is_stalled = true;
      self->stop_upstream();
      return;
    }
    auto const later = self->m_context.router.stall_deadline(self->m_number);
    if (later && *later > now()) {
      self->watch_progress();
    }
  });
}

void exchange::stop_upstream() {
  if (m_upstream) {
    // Closing the connection makes the endpoint drop the request.
    m_upstream->stream.close();
  }
}

void exchange::finish(request_end end, std::string_view reason) {
  if (m_is_done) {
    return;
  }
  m_is_done = true;
  m_deadline.cancel();
  m_stall.cancel();
  boost::system::error_code ignored;
  // Ends the watch, which is all that waits on the caller's socket now.
  m_caller.socket().cancel(ignored);
  m_context.router.end(m_number);
  auto const took = now() - m_began_at;
  m_context.metrics.observe(m_customer, m_route, end, reason, took);
  if (auto const first = m_pace.first_event()) {
    m_context.metrics.observe_stream(m_customer, m_route, *first, m_pace.longest_pause());
  }
  spdlog::info("entry ended request={} outcome={} reason={} route={} customer={} attempts={} "
               "events={} first_event_ms={} longest_pause_ms={} took_ms={}",
               m_id.value, name_of(end), reason, m_route, m_customer, m_attempts, m_events.events(),
               whole_milliseconds(m_pace.first_event().value_or(base::duration::zero())),
               whole_milliseconds(m_pace.longest_pause()), whole_milliseconds(took));
}

void exchange::log_attempt(attempt const& attempt) const {
  spdlog::info(
      "entry attempt request={} session={} number={} endpoint={} version={} model={} route={} "
      "revision={} load={} left_ms={}",
      m_id.value, m_session, attempt.number, attempt.endpoint.value, attempt.version.value,
      attempt.model ? attempt.model->value : "", attempt.route, attempt.document_revision,
      attempt.load, whole_milliseconds(attempt.deadline - now()));
}

void exchange::log_failure(attempt_failure failure) const {
  spdlog::warn("entry attempt_failed request={} number={} failure={} events={}", m_id.value,
               m_attempts, name_of(failure), m_events.events());
}

} // namespace catkinlanding::proxy
