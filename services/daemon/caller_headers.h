#pragma once

#include <services/daemon/caller_protocol.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

/// Reads what callers send as headers of their requests.
namespace catkinlanding::daemon {

using caller_message = boost::beast::http::request<boost::beast::http::string_body>;

using caller_header = boost::beast::http::request_header<>;

/// How long the caller waits; empty if it does not say so.
[[nodiscard]] tl::expected<std::optional<base::duration>, message_error>
read_deadline(caller_header const& message);

/// The fields of a request that are sent as headers.
[[nodiscard]] tl::expected<requests::caller_request, message_error>
read_headers(caller_message const& message);

} // namespace catkinlanding::daemon
