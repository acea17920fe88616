#pragma once

#include <services/proxy/http.h>

#include <cstdint>
#include <optional>

/// The header that an entry instance adds to a request which it passes on to another one: the
/// number of endpoints that the request was sent to before. It is no part of the caller's request.
namespace catkinlanding::proxy {

void add_relay_header(http_request_header& header, std::uint32_t attempts_before);

/// Removes the header and returns its value; nothing if the request comes from a caller. A value
/// that can't be read counts as the largest number, so that such a request is sent nowhere.
[[nodiscard]] std::optional<std::uint32_t> take_relay_header(http_request_header& header);

} // namespace catkinlanding::proxy
