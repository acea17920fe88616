#include <libraries/base/hash.h>
#include <libraries/consensus/disk_identity.h>

namespace catkinlanding::consensus {

namespace {

constexpr unsigned random_shift = 32;

/// The lower half of the id of a first disk: odd, with a hash of the founders.
std::uint32_t first_disk_mark(std::vector<base::instance_id> founders) {
  std::ranges::sort(founders);
  std::string names;
  for (auto const& founder : founders) {
    names += founder.value + '\n';
  }
  return static_cast<std::uint32_t>(base::stable_hash(names)) | 1U;
}

} // namespace

std::uint64_t make_disk_id(std::uint64_t random, bool is_first_start,
                           std::vector<base::instance_id> founders) {
  if (!is_first_start) {
    return make_disk_id(random, false);
  }
  return random << random_shift | first_disk_mark(std::move(founders));
}

bool is_first_disk_of(voter const& v, std::vector<base::instance_id> founders) {
  return static_cast<std::uint32_t>(v.disk_id) == first_disk_mark(std::move(founders));
}

} // namespace catkinlanding::consensus
