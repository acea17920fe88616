#pragma once

#include <services/daemon/connections/arriving_body.h>
#include <services/daemon/coroutine.h>
#include <services/daemon/request_buffer.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

/// Reading requests within the memory that they may take up together.
namespace catkinlanding::daemon {

using request_parser = boost::beast::http::request_parser<connections::arriving_body>;

/// Takes the request that was read.
[[nodiscard]] boost::beast::http::request<boost::beast::http::string_body>
take_request(request_parser& parser);

/// Whether the length of the body is unambiguous. Ambiguous framing would let a part of a body pass
/// for another request.
[[nodiscard]] bool has_unambiguous_framing(request_parser const& parser);

/// The most bytes that a body of this size may take up on the wire, with its chunks' sizes,
/// extensions and trailers. A chunk of a single byte has 5 bytes of framing.
[[nodiscard]] std::uint64_t max_bytes_on_wire(std::uint64_t body_bytes);

struct header_limits {
  std::uint32_t max_bytes = 0;
  /// How long the first byte may be waited for.
  base::duration idle_timeout{};
  /// From the first byte to the last.
  base::duration timeout{};
};

/// Reads a header. Returns `header_limit` if it is larger than the limit, and `not_enough_memory`
/// of the generic category if there is none for it.
[[nodiscard]] awaitable<boost::beast::error_code> read_header(tcp_stream& stream,
                                                              request_buffer& buffer,
                                                              request_parser& parser,
                                                              header_limits limits);

/// Reads the body after the header, and takes memory for it as it arrives. Returns
/// `not_enough_memory` of the generic category if there is none, also if it was given to another
/// request, and `header_limit` if the framing of its chunks or its trailers are too large.
[[nodiscard]] awaitable<boost::beast::error_code>
read_body(tcp_stream& stream, request_buffer& buffer, request_parser& parser);

} // namespace catkinlanding::daemon
