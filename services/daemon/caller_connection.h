#pragma once

#include <libraries/base/time.h>
#include <services/daemon/caller_headers.h>
#include <services/daemon/coroutine.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

namespace catkinlanding::daemon {

/// A caller's request as it was read.
struct incoming_request {
  caller_message message;
  /// When its header was complete. The time of its caller runs from then on.
  base::monotonic_time arrived_at{};
};

using caller_request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// A caller's connection. Shared by its coroutine and by the handler that waits for a disconnect.
/// The reads end with the time that is set at the stream.
struct caller_connection {
  explicit caller_connection(tcp_socket socket) : stream(std::move(socket)) {}

  /// Waits for the first bytes of the next request. Returns false if the connection ended.
  [[nodiscard]] awaitable<bool> wait_for_request();
  /// Reads the body after the header, which the caller may want to be asked for.
  [[nodiscard]] awaitable<boost::beast::error_code> read_body(caller_request_parser& parser);
  /// Reads and discards what the caller still sends, up to this time and a limit of size. Closing a
  /// socket with unread bytes sends a reset, and the caller may then lose the error response.
  [[nodiscard]] awaitable<void> drain(std::chrono::seconds timeout);

  tcp_stream stream;
  boost::beast::flat_buffer buffer;
};

} // namespace catkinlanding::daemon
