#pragma once

#include <libraries/base/time.h>
#include <libraries/proxy/request_trait.h>

#include <cstdint>
#include <vector>

namespace catkinlanding::proxy {

/// What instances know of a trait of requests under which endpoints ended.
struct trait_evidence {
  request_trait trait;
  /// The endpoint processes that ended, and the requests under which they ended, as hashes.
  std::vector<std::uint64_t> endings;
  std::vector<std::uint64_t> requests;
  /// The last position at which a prompt part was found, counted from 0; 0 for other traits.
  std::uint32_t position = 0;
  /// Whether a request with this trait was answered completely, so that the trait ends no endpoint.
  bool is_sound = false;
  /// Time since the latest ending.
  base::duration age{};

  bool operator==(trait_evidence const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(trait, endings, requests, position, is_sound, age);
  }
};

} // namespace catkinlanding::proxy
