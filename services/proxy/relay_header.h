#pragma once

#include <libraries/proxy/request.h>
#include <services/proxy/http.h>

#include <cstdint>
#include <optional>

/// The headers by which entry instances tell each other about a request that is passed on. They are
/// no part of the caller's request or its answer.
///
/// Two are added to the request: the number of endpoints that it was sent to before, and of those
/// that ended under it. The second one also says that its sender understands the same numbers in
/// the answer. It is named as one of the connection, so that a build that doesn't know it sends it
/// to no endpoint. One more is added to a refusal: the instance stops and has sent the request to
/// no endpoint.
namespace catkinlanding::proxy {

void add_relay_header(http_request_header& header, relay_tally const& before);

/// Removes the header and returns its value; nothing if the request comes from a caller. A value
/// that can't be read counts as the largest number, so that such a request is sent nowhere.
[[nodiscard]] std::optional<std::uint32_t> take_relay_header(http_request_header& header);

/// Removes the header with the number of endpoints that ended, and returns its value; nothing if
/// the sender doesn't understand the numbers in the answer.
[[nodiscard]] std::optional<std::uint32_t> take_endings_header(http_request_header& header);

/// Adds the numbers to the answer, in place of those that it may have.
void set_tally(http_response_header& header, relay_tally const& tally);
/// Nothing if the header doesn't have both numbers.
[[nodiscard]] std::optional<relay_tally> read_tally(http_response_header const& header);
void erase_tally(http_response_header& header);

/// Whether another entry instance passed the request on.
[[nodiscard]] bool has_relay_header(http_request_header const& header);

void add_stopping_header(http_response_header& header);
[[nodiscard]] bool has_stopping_header(http_response_header const& header);

} // namespace catkinlanding::proxy
