#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace catkinlanding::proxy {

/// What a request may have in common with others, from the most general to the most specific.
enum class trait_kind : std::uint8_t { caller, path, prompt_part, whole_request };
/// Larger values are rejected during decoding.
constexpr trait_kind last_enumerator(trait_kind /*any*/) {
  return trait_kind::whole_request;
}

[[nodiscard]] constexpr char const* name_of(trait_kind kind) {
  switch (kind) {
  case trait_kind::caller:
    return "caller";
  case trait_kind::path:
    return "path";
  case trait_kind::prompt_part:
    return "prompt_part";
  case trait_kind::whole_request:
    return "whole_request";
  }
  return "unknown";
}

struct request_trait {
  trait_kind kind = trait_kind::whole_request;
  /// The id of a prompt part; a hash of all others.
  std::string id;

  auto operator<=>(request_trait const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(kind, id);
  }
};

} // namespace catkinlanding::proxy
