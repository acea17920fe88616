#pragma once

#include <libraries/base/time.h>
#include <services/daemon/body_reader.h>
#include <services/daemon/caller_headers.h>

namespace catkinlanding::daemon {

/// A caller's request as it was read.
struct incoming_request {
  caller_message message;
  /// When its header was complete. The time of its caller runs from then on.
  base::monotonic_time arrived_at{};
};

/// A caller's connection. Shared by its coroutine and by the handler that waits for a disconnect.
/// The reads end with the time that is set at the stream.
struct caller_connection {
  caller_connection(tcp_socket socket, base::memory_budget const& memory)
      : stream(std::move(socket)), buffer(memory) {}

  /// Waits for the first bytes of the next request. Returns false if the connection ended.
  [[nodiscard]] awaitable<bool> wait_for_request();
  /// Takes memory for the body after the header, and reads it. The caller may want to be asked for
  /// it first. Fails as `daemon::read_body`.
  [[nodiscard]] awaitable<boost::beast::error_code> read_body(request_parser& parser,
                                                              base::memory_share& memory);
  /// Reads and discards what the caller still sends, up to this time and a limit of size. Closing a
  /// socket with unread bytes sends a reset, and the caller may then lose the error response.
  [[nodiscard]] awaitable<void> drain(std::chrono::seconds timeout);

  tcp_stream stream;
  request_buffer buffer;
};

} // namespace catkinlanding::daemon
