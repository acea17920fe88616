#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

/// The process around the router and the control role: sockets, files and signals.
namespace catkinlanding::proxy {

namespace http = boost::beast::http;

using http_request_header = http::request_header<http::fields>;
using http_response_header = http::response_header<http::fields>;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// Removes the headers that concern one connection only, and those that its own headers name.
void erase_hop_by_hop_headers(http::fields& fields);

/// The head of a message as it goes on the wire.
[[nodiscard]] std::string serialize_header(http_response_header const& header);

/// A body's framing and the message with it, as they go on the wire.
[[nodiscard]] std::string serialize_response(http_response_header header, std::string_view body,
                                             bool keep_alive);

/// The head of an answer whose body follows in chunks.
[[nodiscard]] std::string serialize_chunked_header(http_response_header header, bool keep_alive);

[[nodiscard]] std::string serialize_chunk(std::string_view bytes);

inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace catkinlanding::proxy
