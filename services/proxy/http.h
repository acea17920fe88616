#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

/// The proxy executable around the router and the control role: sockets, files and signals.
namespace catkinlanding::proxy {

namespace http = boost::beast::http;

using http_request_header = http::request_header<http::fields>;
using http_response_header = http::response_header<http::fields>;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// Removes the hop-by-hop headers, including those listed in the Connection header.
void erase_hop_by_hop_headers(http::fields& fields);

/// Serializes the status line and the headers.
[[nodiscard]] std::string serialize_header(http_response_header const& header);

/// Serializes the header of a response whose body of this size follows.
[[nodiscard]] std::string serialize_response_header(http_response_header header,
                                                    std::size_t body_bytes, bool keep_alive);

/// Serializes a complete response, with the Content-Length of its body.
[[nodiscard]] std::string serialize_response(http_response_header header, std::string_view body,
                                             bool keep_alive);

/// Serializes the header of a response whose body follows in chunked transfer encoding.
[[nodiscard]] std::string serialize_chunked_header(http_response_header header, bool keep_alive);

[[nodiscard]] std::string serialize_chunk(std::string_view bytes);

inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// A hash of the method and the body.
[[nodiscard]] std::uint64_t content_hash_of(http_request const& request);

} // namespace catkinlanding::proxy
