#pragma once

#include <libraries/base/memory_budget.h>
#include <services/daemon/coroutine.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

/// Reading the bodies of requests within the memory that they may take up together.
namespace catkinlanding::daemon {

using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// Takes memory for a body whose length the header states. Returns false if there is not enough.
[[nodiscard]] bool reserve_body(request_parser const& parser, base::memory_share& memory);

/// Reads the body after the header, and takes memory for it as it arrives if its length is not
/// known. Returns `not_enough_memory` of the generic category if there is none.
[[nodiscard]] awaitable<boost::beast::error_code> read_body(tcp_stream& stream,
                                                            boost::beast::flat_buffer& buffer,
                                                            request_parser& parser,
                                                            base::memory_share& memory);

} // namespace catkinlanding::daemon
