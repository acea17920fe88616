#pragma once

#include <libraries/proxy/request.h>
#include <services/proxy/http.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The headers by which entry instances tell each other about a request that is passed on. They are
/// no part of the caller's request or its answer.
///
/// Three are added to the request: the number of endpoints that it was sent to before, of those
/// that ended under it, and a proof that an instance says so. The second one also says that its
/// sender understands the same numbers in the answer. The last two are named as those of the
/// connection, so that a build that doesn't know them sends them to no endpoint. One more is added
/// to a refusal: the instance stops and has sent the request to no endpoint.
namespace catkinlanding::proxy {

void add_relay_header(http_request_header& header, relay_tally const& before,
                      std::string_view proof);

/// Removes the header and returns its value; nothing if the request comes from a caller. A value
/// that can't be read counts as the largest number, so that such a request is sent nowhere.
[[nodiscard]] std::optional<std::uint32_t> take_relay_header(http_request_header& header);

/// Removes the header with the number of endpoints that ended, and returns its value; nothing if
/// the sender doesn't understand the numbers in the answer.
[[nodiscard]] std::optional<std::uint32_t> take_endings_header(http_request_header& header);

/// Removes the header with the proof, and returns its value; nothing if there is none.
[[nodiscard]] std::optional<std::string> take_proof_header(http_request_header& header);

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
