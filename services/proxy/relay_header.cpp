#include <services/proxy/relay_header.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <string>

namespace catkinlanding::proxy {

namespace {

constexpr char const* relay_header = "Catkinlanding-Relayed";
constexpr char const* stopping_header = "Catkinlanding-Stopping";
constexpr char const* attempts_header = "Catkinlanding-Attempts";
constexpr char const* endings_header = "Catkinlanding-Endings";
constexpr char const* proof_header = "Catkinlanding-Proof";

/// The value of a header; nothing if it can't be read.
std::optional<std::uint32_t> parse_count(std::string_view text) {
  std::uint32_t count = 0;
  auto const result = std::from_chars(text.data(), text.data() + text.size(), count);
  bool const is_whole = result.ec == std::errc{} && result.ptr == text.data() + text.size();
  return is_whole ? std::optional(count) : std::nullopt;
}

/// Removes the header and returns its value; nothing if it isn't there. A value that can't be read
/// counts as half of the range, so that adding to it does not overflow.
std::optional<std::uint32_t> take_count(http_request_header& header, char const* name) {
  auto const found = header.find(name);
  if (found == header.end()) {
    return std::nullopt;
  }
  constexpr auto unreadable = std::numeric_limits<std::uint32_t>::max() / 2;
  auto const count = parse_count(found->value());
  header.erase(name);
  return std::min(count.value_or(unreadable), unreadable);
}

} // namespace

void add_relay_header(http_request_header& header, relay_tally const& before,
                      std::string_view proof) {
  header.set(relay_header, std::to_string(before.attempts));
  header.set(endings_header, std::to_string(before.endings));
  header.set(proof_header, std::string(proof));
  header.set(http::field::connection, std::string(endings_header) + ", " + proof_header);
}

std::optional<std::uint32_t> take_relay_header(http_request_header& header) {
  return take_count(header, relay_header);
}

std::optional<std::uint32_t> take_endings_header(http_request_header& header) {
  return take_count(header, endings_header);
}

std::optional<std::string> take_proof_header(http_request_header& header) {
  auto const found = header.find(proof_header);
  if (found == header.end()) {
    return std::nullopt;
  }
  std::string proof(found->value());
  header.erase(proof_header);
  return proof;
}

void set_tally(http_response_header& header, relay_tally const& tally) {
  header.set(attempts_header, std::to_string(tally.attempts));
  header.set(endings_header, std::to_string(tally.endings));
}

std::optional<relay_tally> read_tally(http_response_header const& header) {
  auto const attempts = parse_count(header[attempts_header]);
  auto const endings = parse_count(header[endings_header]);
  if (!attempts || !endings) {
    return std::nullopt;
  }
  return relay_tally{.attempts = *attempts, .endings = *endings};
}

void erase_tally(http_response_header& header) {
  header.erase(attempts_header);
  header.erase(endings_header);
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
