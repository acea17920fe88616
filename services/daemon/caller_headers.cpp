#include <libraries/base/try.h>
#include <services/daemon/caller_headers.h>

#include <charconv>

namespace catkinlanding::daemon {

namespace {

namespace http = boost::beast::http;

/// Limits the content type, idempotency key, session and class headers. A request with a longer
/// value is rejected.
constexpr std::size_t max_name_length = 256;

std::optional<std::string> header(caller_header const& message, std::string_view name) {
  auto const it = message.find(name);
  if (it == message.end()) {
    return std::nullopt;
  }
  return std::string(it->value());
}

std::string bearer_key(caller_message const& message) {
  constexpr std::string_view prefix = "Bearer ";
  std::string_view const value = message[http::field::authorization];
  return std::string(value.starts_with(prefix) ? value.substr(prefix.size()) : value);
}

} // namespace

tl::expected<std::optional<base::duration>, message_error>
read_deadline(caller_header const& message) {
  constexpr std::int64_t max_deadline_ms = 24 * 60 * 60 * 1000;
  auto const text = header(message, "Catkinlanding-Deadline-Ms");
  if (!text) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  auto const* const end = text->data() + text->size();
  auto const result = std::from_chars(text->data(), end, value);
  if (result.ec != std::errc{} || result.ptr != end || value < 1 || value > max_deadline_ms) {
    return tl::unexpected(message_error::bad_deadline);
  }
  return std::chrono::milliseconds(value);
}

tl::expected<requests::caller_request, message_error> read_headers(caller_message const& message) {
  requests::caller_request request;
  request.customer_key = bearer_key(message);
  request.content_type = message[http::field::content_type];
  request.idempotency_key = header(message, "Idempotency-Key");
  if (auto session = header(message, "Catkinlanding-Session")) {
    request.session = base::session_id{std::move(*session)};
  }
  if (auto name = header(message, "Catkinlanding-Class")) {
    request.request_class = base::class_id{std::move(*name)};
  }
  request.deadline = CATKINLANDING_TRY(read_deadline(message));
  bool const is_too_long =
      request.content_type.size() > max_name_length ||
      (request.idempotency_key && request.idempotency_key->size() > max_name_length) ||
      (request.session && request.session->value.size() > max_name_length) ||
      (request.request_class && request.request_class->value.size() > max_name_length);
  if (is_too_long) {
    return tl::unexpected(message_error::header_too_long);
  }
  return request;
}

} // namespace catkinlanding::daemon
