#pragma once

#include <libraries/base/time.h>
#include <services/daemon/body_reader.h>
#include <services/daemon/caller_headers.h>
#include <services/daemon/connections/places.h>

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
  caller_connection(tcp_socket socket, std::shared_ptr<connections::open_connections> all,
                    std::shared_ptr<connections::places> all_places, bool has_place,
                    base::memory_share socket_share)
      : stream(std::move(socket)), entry(std::move(all), stream),
        place(std::move(all_places), entry, has_place), buffer(entry),
        socket_memory(std::move(socket_share)) {}

  /// Reads the body after the header. The caller may want to be asked for it first. Fails as
  /// `daemon::read_body`.
  [[nodiscard]] awaitable<boost::beast::error_code> read_body(request_parser& parser);
  /// Reads and discards what the caller still sends, up to this time and a limit of size. Closing a
  /// socket with unread bytes sends a reset, and the caller may then lose the error response.
  [[nodiscard]] awaitable<void> drain(std::chrono::seconds timeout);

  tcp_stream stream;
  connections::open_connections::entry entry;
  connections::places::holder place;
  request_buffer buffer;
  /// What the kernel may receive for it.
  base::memory_share socket_memory;
  bool has_been_served = false;
};

} // namespace catkinlanding::daemon
