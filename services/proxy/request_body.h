#pragma once

#include <libraries/base/memory_budget.h>
#include <services/daemon/coroutine.h>
#include <services/proxy/http.h>

#include <boost/beast/http/parser.hpp>

#include <optional>

/// Reading the bodies of requests, of callers, operators and endpoints, within the memory that they
/// may take up together.
namespace catkinlanding::proxy {

using request_parser = http::request_parser<http::string_body>;

enum class request_body_failure : std::uint8_t {
  /// The connection ended, or its time was over.
  connection_lost,
  /// The body is larger than the limit for one request.
  too_large,
  /// The bodies of all requests leave no memory for this one.
  no_memory,
};

/// Takes memory for a body whose length the header states. Returns false if there is not enough.
[[nodiscard]] bool reserve_body(request_parser const& parser, base::memory_share& memory);

/// Reads the body after the header, and takes memory for it as it arrives if its length is not
/// known. Returns how that failed; nothing on success.
[[nodiscard]] daemon::awaitable<std::optional<request_body_failure>>
read_body(daemon::tcp_stream& stream, boost::beast::flat_buffer& buffer, request_parser& parser,
          base::memory_share& memory);

/// Ends the sending direction and discards what arrives, until the peer closes the connection or
/// pauses for so long. For a peer that still sends: if the connection were closed at once, it would
/// be reset, and the peer might lose the answer.
daemon::awaitable<void> discard_rest(daemon::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                                     std::chrono::milliseconds max_pause);

} // namespace catkinlanding::proxy
