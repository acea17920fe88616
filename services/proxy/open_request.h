#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace catkinlanding::proxy {

/// How far a caller's request has come.
enum class open_request_state : std::uint8_t {
  /// A part of it has arrived.
  half_read,
  /// It waits for a document or an endpoint.
  awaiting_state,
  /// It was sent to an endpoint, or to another entry instance, and has no answer.
  awaiting_answer,
  /// A part of the answer has been passed on to the caller.
  answering,
};

[[nodiscard]] constexpr char const* name_of(open_request_state state) {
  switch (state) {
  case open_request_state::half_read:
    return "half_read";
  case open_request_state::awaiting_state:
    return "awaiting_state";
  case open_request_state::awaiting_answer:
    return "awaiting_answer";
  case open_request_state::answering:
    return "answering";
  }
  return "unknown";
}

/// A caller's request that has not ended, described for the log.
struct open_request {
  open_request_state state = open_request_state::half_read;
  /// Empty before its header is complete.
  base::request_id id;
  /// Empty while unknown.
  std::string route;
  /// The endpoint, or the entry instance that it was passed on to; empty if there is none yet.
  std::string endpoint;
  /// Number of the current attempt; 0 before the first.
  std::uint32_t attempt = 0;
  /// Events of its stream that the caller received.
  std::size_t events = 0;
  std::optional<base::monotonic_time> header_at;
  std::optional<base::monotonic_time> last_byte_at;
  /// When its caller stops waiting, as far as the caller or the route says so.
  std::optional<base::monotonic_time> caller_deadline;
  /// When the current attempt began, or its endpoint last sent an event.
  std::optional<base::monotonic_time> progress_at;
};

} // namespace catkinlanding::proxy
