#pragma once

#include <libraries/base/memory_budget.h>
#include <services/daemon/coroutine.h>
#include <services/daemon/request_buffer.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

/// Reading requests within the memory that they may take up together.
namespace catkinlanding::daemon {

using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// Whether the length of the body is unambiguous. Ambiguous framing would let a part of a body pass
/// for another request.
[[nodiscard]] bool has_unambiguous_framing(request_parser const& parser);

/// The most bytes that a body of this size may take up on the wire, with its chunks' sizes,
/// extensions and trailers. A chunk of a single byte has 5 bytes of framing.
[[nodiscard]] std::uint64_t max_bytes_on_wire(std::uint64_t body_bytes);

/// Reads a header of at most this many bytes. Returns `header_limit` if it is larger, and
/// `not_enough_memory` of the generic category if there is none for it.
[[nodiscard]] awaitable<boost::beast::error_code> read_header(tcp_stream& stream,
                                                              request_buffer& buffer,
                                                              request_parser& parser,
                                                              std::uint32_t max_bytes);

/// Takes memory for a body whose length the header states. Returns false if there is not enough.
[[nodiscard]] bool reserve_body(request_parser const& parser, base::memory_share& memory);

/// Reads the body after the header, and takes memory for it as it arrives if its length is not
/// known. Returns `not_enough_memory` of the generic category if there is none, and `header_limit`
/// if the framing of its chunks or its trailers are too large.
[[nodiscard]] awaitable<boost::beast::error_code> read_body(tcp_stream& stream,
                                                            request_buffer& buffer,
                                                            request_parser& parser,
                                                            base::memory_share& memory);

} // namespace catkinlanding::daemon
