#include <libraries/base/hash.h>
#include <libraries/proxy/request_traits.h>

#include <array>
#include <charconv>

namespace catkinlanding::proxy {

namespace {

std::string to_hexadecimal(std::uint64_t value) {
  std::array<char, 16> digits{};
  constexpr int base = 16;
  auto const result = std::to_chars(digits.data(), digits.data() + digits.size(), value, base);
  return {digits.data(), result.ptr};
}

std::uint64_t path_hash(request_facts const& facts) {
  return base::stable_hash(facts.path, base::stable_hash(facts.host));
}

} // namespace

std::uint64_t fingerprint_of(request_facts const& facts) {
  auto const caller = base::stable_hash(facts.key.value_or(""), facts.content_hash);
  return base::stable_hash(facts.path, base::stable_hash(facts.host, caller));
}

request_traits traits_of(request_facts const& facts) {
  request_traits made{.fingerprint = fingerprint_of(facts)};
  made.traits.push_back({trait_kind::whole_request, to_hexadecimal(made.fingerprint)});
  // The last part belongs to this request or its session alone.
  for (std::size_t i = 0; i + 1 < facts.prompt.size(); ++i) {
    made.traits.push_back({trait_kind::prompt_part, facts.prompt[i].id});
  }
  made.traits.push_back({trait_kind::path, to_hexadecimal(path_hash(facts))});
  if (facts.key) {
    made.traits.push_back({trait_kind::caller, to_hexadecimal(base::stable_hash(*facts.key))});
  }
  return made;
}

} // namespace catkinlanding::proxy
