#pragma once

#include <libraries/endpoints/announcement.h>
#include <libraries/requests/event.h>
#include <libraries/requests/failure.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// Parses the JSON messages of callers and endpoints, and builds the JSON bodies of error
/// responses.
namespace catkinlanding::daemon {

/// Why an HTTP message is rejected before it reaches the reducer.
enum class message_error : std::uint8_t {
  not_json,
  missing_model,
  wrong_type,
  out_of_range,
  bad_deadline,
  header_too_long,
  body_too_large,
  not_http,
  too_many_connections,
  unknown_path,
  bodies_exceed_memory,
};

/// The fields of a completion request that routing needs. The other fields are forwarded unparsed.
struct completion_fields {
  base::model_id model;
  bool is_stream = false;
};

[[nodiscard]] tl::expected<completion_fields, message_error>
parse_completion(std::string_view body);
[[nodiscard]] tl::expected<endpoints::announcement, message_error>
parse_announcement(std::string_view body);

/// The HTTP status and the JSON body that report a failure to a caller.
struct error_response {
  std::uint32_t status = 500;
  std::string body;
};

/// The name of a failure as it appears in error responses, metrics and logs.
[[nodiscard]] char const* name_of(requests::failure_kind kind);
[[nodiscard]] error_response make_error_response(requests::failure const& failure);
/// Returns only the JSON body; the caller of this function chooses the HTTP status.
[[nodiscard]] std::string make_error_response(message_error error);

} // namespace catkinlanding::daemon
