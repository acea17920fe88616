#pragma once

#include <libraries/base/memory_budget.h>
#include <libraries/proxy/event_stream.h>
#include <libraries/proxy/router.h>
#include <libraries/proxy/stream_timing.h>
#include <services/daemon/connections/open_connections.h>
#include <services/daemon/coroutine.h>
#include <services/proxy/answer_reader.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace catkinlanding::proxy {

/// Forwards the answer to one request to its caller, and knows how much of it the caller has. A
/// stream may come from several endpoints, one after the other.
class answer_forwarder {
public:
  enum class result : std::uint8_t {
    complete,
    broken,
    malformed,
    caller_write_failed,
    /// Another answer takes the place of this one; what arrived last is not delivered.
    replaced,
  };

  struct options {
    proxy::router& router;
    base::memory_budget& memory;
    daemon::tcp_stream& caller;
    /// The caller's connection, which may be closed while its caller doesn't read.
    daemon::connections::open_connections::entry& connection;
    request_number number = 0;
    base::monotonic_time began_at{};
    /// Whether another answer takes the place of the one that is forwarded.
    std::function<bool()> is_replaced;
    /// Called before a part of an answer is delivered, but not for bytes that complete no event.
    std::function<void()> on_progress;
    /// Called before a whole answer is delivered, which no other can replace from then on.
    std::function<void()> on_final;
    /// Completes the header of the answer, right before it is sent.
    std::function<void(http_response_header&)> complete_header;
  };

  explicit answer_forwarder(options options)
      : m_options(std::move(options)), m_timing(m_options.began_at) {}

  /// Forwards a complete answer with its length, or in chunks if it exceeds what may be buffered.
  /// `keep_alive` tells the caller whether its connection remains open.
  daemon::awaitable<result> forward_body(answer_reader& answer, bool keep_alive);
  /// Forwards an event stream, complete events only.
  daemon::awaitable<result> forward_events(answer_reader& answer, bool keep_alive);
  /// Reads the rest of the body, which is not forwarded, and accounts for it in the share. One that
  /// is larger than the limit, or than the share may be, is malformed.
  daemon::awaitable<tl::expected<std::string, attempt_failure>>
  read_body(answer_reader& answer, std::size_t max_bytes, base::memory_share& memory);
  /// Returns false if the caller has disconnected, or does not read.
  daemon::awaitable<bool> write(std::string bytes);

  /// Whether the caller has received the header of an answer.
  [[nodiscard]] bool has_begun() const { return m_has_begun; }
  /// Whether a write to the caller is pending, so that nothing more is read for it.
  [[nodiscard]] bool is_writing() const { return m_is_writing; }
  [[nodiscard]] event_stream const& events() const { return m_events; }
  [[nodiscard]] stream_timing const& timing() const { return m_timing; }

  /// Failures that can be replaced are buffered up to this size, as answers are.
  static constexpr std::size_t max_buffered_bytes = 64 * 1024;

private:
  /// Reads the next part of the body.
  daemon::awaitable<tl::expected<std::string_view, attempt_failure>>
  read_some(answer_reader& answer);
  daemon::awaitable<bool> write_chunk(std::string_view bytes);
  /// Forwards what is left of the body after its buffered beginning, in chunks.
  daemon::awaitable<result> forward_in_chunks(answer_reader& answer, std::string beginning,
                                              base::memory_share memory);

  options m_options;
  event_stream m_events;
  stream_timing m_timing;
  bool m_has_begun = false;
  bool m_is_writing = false;
};

} // namespace catkinlanding::proxy
