#include <services/proxy/answer_forwarder.h>
#include <services/proxy/clock.h>

#include <boost/asio/write.hpp>

namespace catkinlanding::proxy {

namespace {

namespace asio = boost::asio;
using daemon::awaitable;
using daemon::completion;

/// A caller that does not accept a write within this time is treated as gone.
constexpr std::chrono::seconds write_timeout{10};
/// A stream with a larger event is malformed.
constexpr std::size_t max_event_bytes = 1024 * 1024;

answer_forwarder::result result_of(attempt_failure failure) {
  return failure == attempt_failure::broken ? answer_forwarder::result::broken
                                            : answer_forwarder::result::malformed;
}

answer_forwarder::result result_of_write(bool is_written) {
  return is_written ? answer_forwarder::result::complete
                    : answer_forwarder::result::caller_write_failed;
}

} // namespace

awaitable<answer_forwarder::result> answer_forwarder::forward_body(answer_reader& answer,
                                                                   bool keep_alive) {
  auto header = answer.header();
  erase_hop_by_hop_headers(header);
  std::string body;
  // Answers up to this size are buffered completely before the first byte is forwarded, so that an
  // answer that breaks off can still be replaced by a retry.
  while (body.size() <= max_buffered_bytes && !answer.is_done()) {
    auto const piece = co_await read_some(answer);
    if (!piece) {
      co_return result_of(piece.error());
    }
    body.append(*piece);
  }
  m_has_begun = true;
  if (answer.is_done()) {
    co_return result_of_write(co_await write(serialize_response(header, body, keep_alive)));
  }
  if (!co_await write(serialize_chunked_header(header, keep_alive) + serialize_chunk(body))) {
    co_return result::caller_write_failed;
  }
  while (!answer.is_done()) {
    auto const piece = co_await read_some(answer);
    if (!piece) {
      co_return result_of(piece.error());
    }
    if (!co_await write_chunk(*piece)) {
      co_return result::caller_write_failed;
    }
  }
  co_return result_of_write(co_await write(std::string(last_chunk)));
}

awaitable<answer_forwarder::result> answer_forwarder::forward_events(answer_reader& answer,
                                                                     bool keep_alive) {
  auto header = answer.header();
  erase_hop_by_hop_headers(header);
  m_events.drop_partial();
  while (!answer.is_done()) {
    auto const piece = co_await read_some(answer);
    if (!piece) {
      co_return result_of(piece.error());
    }
    auto const events_before = m_events.events();
    auto events = m_events.take(*piece);
    if (m_events.partial_bytes() > max_event_bytes) {
      co_return result::malformed;
    }
    if (events.empty()) {
      continue;
    }
    m_router.note_events(m_number, m_events.events() - events_before, now());
    auto bytes = serialize_chunk(events);
    if (!m_has_begun) {
      // The header is sent with the first event, so that an attempt without events can be replaced.
      bytes.insert(0, serialize_chunked_header(header, keep_alive));
      m_has_begun = true;
    }
    if (!co_await write(std::move(bytes))) {
      co_return result::caller_write_failed;
    }
    m_timing.note_delivery(now());
  }
  if (m_events.partial_bytes() != 0) {
    co_return result::broken;
  }
  std::string ending(last_chunk);
  if (!m_has_begun) {
    ending.insert(0, serialize_chunked_header(header, keep_alive));
    m_has_begun = true;
  }
  co_return result_of_write(co_await write(std::move(ending)));
}

awaitable<tl::expected<std::string, attempt_failure>>
answer_forwarder::read_body(answer_reader& answer, std::size_t max_bytes) {
  std::string body;
  while (!answer.is_done()) {
    auto const piece = co_await read_some(answer);
    if (!piece) {
      co_return tl::unexpected(piece.error());
    }
    if (body.size() + piece->size() > max_bytes) {
      co_return tl::unexpected(attempt_failure::malformed);
    }
    body.append(*piece);
  }
  co_return body;
}

awaitable<tl::expected<std::string_view, attempt_failure>>
answer_forwarder::read_some(answer_reader& answer) {
  auto const piece = co_await answer.read_some();
  if (piece) {
    m_router.note_progress(m_number, now());
  }
  co_return piece;
}

awaitable<bool> answer_forwarder::write(std::string bytes) {
  m_caller.expires_after(write_timeout);
  auto const [error, size] = co_await asio::async_write(m_caller, asio::buffer(bytes), completion);
  co_return !error;
}

awaitable<bool> answer_forwarder::write_chunk(std::string_view bytes) {
  if (bytes.empty()) {
    co_return true;
  }
  co_return co_await write(serialize_chunk(bytes));
}

} // namespace catkinlanding::proxy
