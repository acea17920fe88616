#pragma once

#include <libraries/base/time.h>
#include <services/daemon/body_reader.h>
#include <services/proxy/http.h>

#include <cstdint>
#include <optional>

/// Reading the bodies of requests, of callers, operators and endpoints, within the memory that they
/// may take up together.
namespace catkinlanding::proxy {

using daemon::has_unambiguous_framing;
using daemon::request_parser;

enum class request_body_failure : std::uint8_t {
  /// The connection ended, or its time was over.
  connection_lost,
  /// The body is larger than the limit for one request.
  too_large,
  /// The bodies or the buffers of all requests leave no memory for this one.
  no_memory,
  /// The sizes and extensions of the chunks, or the trailers, are larger than any body needs.
  framing_too_large,
};

/// Reads the body after the header as `daemon::read_body` does. Returns how that failed; nothing on
/// success.
[[nodiscard]] daemon::awaitable<std::optional<request_body_failure>>
read_body(daemon::tcp_stream& stream, daemon::request_buffer& buffer, request_parser& parser);

/// How much of a refused request is discarded.
struct discard_limits {
  base::duration max_pause{};
  base::duration max_time{};
  std::uint64_t max_bytes = 0;
};

/// Ends the sending direction and discards what arrives, until the peer closes the connection or a
/// limit is reached. For a peer that still sends: if the connection were closed at once, it would
/// be reset, and the peer might lose the answer.
daemon::awaitable<void> discard_rest(daemon::tcp_stream& stream, daemon::request_buffer& buffer,
                                     discard_limits limits);

} // namespace catkinlanding::proxy
