#include <services/proxy/answer_header.h>

#include <charconv>

namespace catkinlanding::proxy {

namespace {

constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;
constexpr unsigned first_server_error = 500;

} // namespace

bool is_interim(unsigned status) {
  return status < first_success;
}

bool is_success(unsigned status) {
  return status >= first_success && status < first_redirect;
}

bool is_server_error(unsigned status) {
  return status >= first_server_error;
}

bool implies_not_executed(unsigned status) {
  constexpr unsigned request_timeout = 408;
  constexpr unsigned misdirected = 421;
  constexpr unsigned too_many = 429;
  constexpr unsigned unavailable = 503;
  return status == request_timeout || status == misdirected || status == too_many ||
         status == unavailable;
}

std::size_t memory_of(http_response_header const& header) {
  constexpr std::size_t bytes_per_field = 96;
  std::size_t bytes = 0;
  for (auto const& field : header) {
    bytes += field.name_string().size() + field.value().size() + bytes_per_field;
  }
  return bytes;
}

base::duration keep_alive_timeout(http_response_header const& header) {
  constexpr std::string_view parameter = "timeout=";
  std::string_view const value = header[http::field::keep_alive];
  auto const position = value.find(parameter);
  if (position == std::string_view::npos) {
    return base::duration::zero();
  }
  std::int64_t seconds = 0;
  auto const digits = value.substr(position + parameter.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::chrono::seconds(seconds);
}

} // namespace catkinlanding::proxy
