#include <services/daemon/caller_answers.h>

#include <boost/beast/http/error.hpp>

#include <chrono>

namespace catkinlanding::daemon {

namespace {

namespace http = boost::beast::http;

} // namespace

caller_response make_closing_response(http::status status, message_error reason) {
  caller_response response{status, 11};
  response.set(http::field::content_type, "application/json");
  response.keep_alive(false);
  response.body() = make_error_response(reason);
  response.prepare_payload();
  return response;
}

std::optional<caller_response> make_parse_error_response(boost::beast::error_code error) {
  if (error == http::error::body_limit) {
    return make_closing_response(http::status::payload_too_large, message_error::body_too_large);
  }
  if (error == http::error::header_limit) {
    return make_closing_response(http::status::request_header_fields_too_large,
                                 message_error::header_too_long);
  }
  if (error == boost::system::errc::not_enough_memory) {
    return make_closing_response(http::status::service_unavailable,
                                 message_error::bodies_exceed_memory);
  }
  bool const has_ended =
      error.category() != make_error_code(http::error::end_of_stream).category() ||
      error == http::error::end_of_stream || error == http::error::partial_message;
  if (has_ended) {
    return std::nullopt;
  }
  return make_closing_response(http::status::bad_request, message_error::not_http);
}

caller_response make_failure_response(requests::failure const& failure) {
  auto error = make_error_response(failure);
  caller_response response{http::int_to_status(error.status), 11};
  response.set(http::field::content_type, "application/json");
  if (failure.retry_after) {
    auto const seconds = std::chrono::ceil<std::chrono::seconds>(*failure.retry_after);
    response.set(http::field::retry_after, std::to_string(seconds.count()));
  }
  response.body() = std::move(error.body);
  return response;
}

void set_reply_headers(http::response_header<>& response, requests::reply_head const& head) {
  response.set(http::field::content_type, head.content_type);
  if (!head.version.is_empty()) {
    response.set("Catkinlanding-Model", head.model.value);
    response.set("Catkinlanding-Version", head.version.value);
  }
  if (!head.session_moved_from.is_empty()) {
    response.set("Catkinlanding-Session-Moved-From", head.session_moved_from.value);
  }
}

} // namespace catkinlanding::daemon
