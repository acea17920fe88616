#include <services/proxy/relay_header.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <string>

namespace catkinlanding::proxy {

namespace {

constexpr char const* relay_header = "Catkinlanding-Relayed";
constexpr char const* stopping_header = "Catkinlanding-Stopping";

} // namespace

void add_relay_header(http_request_header& header, std::uint32_t attempts_before) {
  header.set(relay_header, std::to_string(attempts_before));
}

std::optional<std::uint32_t> take_relay_header(http_request_header& header) {
  auto const found = header.find(relay_header);
  if (found == header.end()) {
    return std::nullopt;
  }
  std::string const text(found->value());
  header.erase(relay_header);
  // Half of the range, so that adding attempts does not overflow.
  constexpr auto unreadable = std::numeric_limits<std::uint32_t>::max() / 2;
  std::uint32_t attempts = 0;
  auto const result = std::from_chars(text.data(), text.data() + text.size(), attempts);
  bool const is_whole = result.ec == std::errc{} && result.ptr == text.data() + text.size();
  return is_whole ? std::min(attempts, unreadable) : unreadable;
}

bool has_relay_header(http_request_header const& header) {
  return header.count(relay_header) != 0;
}

void add_stopping_header(http_response_header& header) {
  header.set(stopping_header, "1");
}

bool has_stopping_header(http_response_header const& header) {
  return header.count(stopping_header) != 0;
}

} // namespace catkinlanding::proxy
