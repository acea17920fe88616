#pragma once

#include <services/proxy/http.h>

#include <cstdint>
#include <optional>

/// The headers by which entry instances tell each other about a request that is passed on. They are
/// no part of the caller's request or its answer. One is added to the request: the number of
/// endpoints that it was sent to before. The other one is added to a refusal: the instance stops
/// and has sent the request to no endpoint.
namespace catkinlanding::proxy {

void add_relay_header(http_request_header& header, std::uint32_t attempts_before);

/// Removes the header and returns its value; nothing if the request comes from a caller. A value
/// that can't be read counts as the largest number, so that such a request is sent nowhere.
[[nodiscard]] std::optional<std::uint32_t> take_relay_header(http_request_header& header);

/// Whether another entry instance passed the request on.
[[nodiscard]] bool has_relay_header(http_request_header const& header);

void add_stopping_header(http_response_header& header);
[[nodiscard]] bool has_stopping_header(http_response_header const& header);

} // namespace catkinlanding::proxy
