#pragma once

#include <libraries/base/identifier.h>

#include <cstdint>
#include <string>

namespace catkinlanding::catalogue {

/// Upper bounds for one entry over the whole deployment. Zero means that there is no bound.
struct limits {
  std::uint32_t requests_per_second = 0;
  std::uint32_t tokens_per_second = 0;
  std::uint32_t concurrent_requests = 0;

  bool operator==(limits const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(requests_per_second, tokens_per_second, concurrent_requests);
  }
};

/// What every entry carries, whatever its kind.
struct stewardship {
  std::string owner;
  base::class_id request_class;
  catalogue::limits limits;

  bool operator==(stewardship const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(owner, request_class, limits);
  }
};

} // namespace catkinlanding::catalogue
