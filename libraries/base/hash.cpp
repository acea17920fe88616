#include <libraries/base/hash.h>

#include <xxhash.h>

namespace catkinlanding::base {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

} // namespace catkinlanding::base
