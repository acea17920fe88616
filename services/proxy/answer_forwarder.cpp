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

/// A growing text takes up to twice its size.
constexpr std::size_t buffer_copies = 2;

/// An assignment of an empty text would keep the buffer.
void free_buffer(std::string& text) {
  text.clear();
  text.shrink_to_fit();
}

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
  base::memory_share memory(m_options.memory);
  // Answers up to this size are buffered completely before the first byte is forwarded, so that an
  // answer that breaks off can still be replaced by a retry.
  bool may_buffer = true;
  while (may_buffer && !answer.is_done()) {
    auto const piece = co_await read_some(answer);
    if (!piece) {
      co_return result_of(piece.error());
    }
    body.append(*piece);
    may_buffer =
        body.size() <= max_buffered_bytes && memory.try_resize(buffer_copies * body.size());
  }
  if (m_options.is_replaced()) {
    co_return result::replaced;
  }
  m_options.on_progress();
  m_options.on_final();
  m_options.complete_header(header);
  m_has_begun = true;
  if (!answer.is_done()) {
    auto beginning = serialize_chunked_header(header, keep_alive) + serialize_chunk(body);
    header.clear();
    free_buffer(body);
    co_return co_await forward_in_chunks(answer, std::move(beginning), std::move(memory));
  }
  auto bytes = serialize_response(header, body, keep_alive);
  free_buffer(body);
  co_return result_of_write(co_await write(std::move(bytes)));
}

awaitable<answer_forwarder::result> answer_forwarder::forward_in_chunks(answer_reader& answer,
                                                                        std::string beginning,
                                                                        base::memory_share memory) {
  if (!co_await write(std::move(beginning))) {
    co_return result::caller_write_failed;
  }
  memory.release();
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
  base::memory_share memory(m_options.memory);
  while (!answer.is_done()) {
    auto const piece = co_await read_some(answer);
    if (!piece) {
      co_return result_of(piece.error());
    }
    if (m_options.is_replaced()) {
      co_return result::replaced;
    }
    auto const events_before = m_events.events();
    auto events = m_events.take(*piece);
    bool const is_too_large = m_events.partial_bytes() > max_event_bytes ||
                              !memory.try_resize(buffer_copies * m_events.partial_bytes());
    if (is_too_large) {
      m_events.drop_partial();
      co_return result::malformed;
    }
    if (events.empty()) {
      continue;
    }
    m_options.on_progress();
    m_options.router.note_events(m_options.number, m_events.events() - events_before, now());
    auto bytes = serialize_chunk(events);
    if (!m_has_begun) {
      // The header is sent with the first event, so that an attempt without events can be replaced.
      m_options.complete_header(header);
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
  m_options.on_progress();
  std::string ending(last_chunk);
  if (!m_has_begun) {
    m_options.complete_header(header);
    ending.insert(0, serialize_chunked_header(header, keep_alive));
    m_has_begun = true;
  }
  co_return result_of_write(co_await write(std::move(ending)));
}

awaitable<tl::expected<std::string, attempt_failure>>
answer_forwarder::read_body(answer_reader& answer, std::size_t max_bytes,
                            base::memory_share& memory) {
  std::string body;
  while (!answer.is_done()) {
    auto const piece = co_await read_some(answer);
    if (!piece) {
      co_return tl::unexpected(piece.error());
    }
    auto const size = body.size() + piece->size();
    if (size > max_bytes || !memory.try_resize(buffer_copies * size)) {
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
    m_options.router.note_progress(m_options.number, now());
  }
  co_return piece;
}

awaitable<bool> answer_forwarder::write(std::string bytes) {
  m_options.caller.expires_after(write_timeout);
  m_is_writing = true;
  daemon::connections::open_connections::writing_scope const writing(m_options.connection);
  auto const [error, size] =
      co_await asio::async_write(m_options.caller, asio::buffer(bytes), completion);
  m_is_writing = false;
  m_options.router.note_written(m_options.number, now());
  co_return !error;
}

awaitable<bool> answer_forwarder::write_chunk(std::string_view bytes) {
  if (bytes.empty()) {
    co_return true;
  }
  co_return co_await write(serialize_chunk(bytes));
}

} // namespace catkinlanding::proxy
