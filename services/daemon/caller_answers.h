#pragma once

#include <libraries/requests/effect.h>
#include <services/daemon/caller_protocol.h>

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

/// The answers to callers, as far as they follow from what is answered alone.
namespace catkinlanding::daemon {

using caller_response = boost::beast::http::response<boost::beast::http::string_body>;

/// The error after which the connection is closed.
[[nodiscard]] caller_response make_closing_response(boost::beast::http::status status,
                                                    message_error reason);

/// The answer to a request that could not be read; nothing if its connection has ended.
[[nodiscard]] std::optional<caller_response>
make_parse_error_response(boost::beast::error_code error);

/// The answer to a request that failed. Its length and its connection are left to be set.
[[nodiscard]] caller_response make_failure_response(requests::failure const& failure);

/// Sets what an answer of an endpoint says of itself.
void set_reply_headers(boost::beast::http::response_header<>& response,
                       requests::reply_head const& head);

} // namespace catkinlanding::daemon
