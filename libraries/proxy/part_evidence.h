#pragma once

#include <libraries/base/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace catkinlanding::proxy {

/// What instances know of a prompt part that was in requests under which endpoints ended.
struct part_evidence {
  std::string part;
  /// The endpoint processes that ended, and the requests under which they ended, as hashes.
  std::vector<std::uint64_t> endings;
  std::vector<std::uint64_t> requests;
  /// The last position at which the part was found in a prompt, counted from 0.
  std::uint32_t position = 0;
  /// Whether a request with this part was answered completely, so that the part ends no endpoint.
  bool is_sound = false;
  /// Time since the latest ending.
  base::duration age{};

  bool operator==(part_evidence const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(part, endings, requests, position, is_sound, age);
  }
};

} // namespace catkinlanding::proxy
