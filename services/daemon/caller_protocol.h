#pragma once

#include <libraries/endpoints/announcement.h>
#include <libraries/requests/event.h>
#include <libraries/requests/failure.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// What callers and endpoints say in JSON, in typed form.
namespace catkinlanding::daemon {

/// Why a message is refused before it becomes a request.
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
};

/// The fields of a completion request that routing needs; the rest goes on unread.
struct completion_fields {
  base::model_id model;
  bool is_stream = false;
};

[[nodiscard]] tl::expected<completion_fields, message_error>
parse_completion(std::string_view body);
[[nodiscard]] tl::expected<endpoints::announcement, message_error>
parse_announcement(std::string_view body);

/// The status and the JSON body that tell a caller of a failure.
struct error_response {
  std::uint32_t status = 500;
  std::string body;
};

/// The name of a failure, for callers, metrics and logs.
[[nodiscard]] char const* name_of(requests::failure_kind kind);
[[nodiscard]] error_response make_error_response(requests::failure const& failure);
[[nodiscard]] std::string make_error_response(message_error error);

} // namespace catkinlanding::daemon
