#pragma once

#include <cstdint>
#include <string_view>

namespace catkinlanding::base {

/// A hash that is the same on every instance and build, by xxHash.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

} // namespace catkinlanding::base
