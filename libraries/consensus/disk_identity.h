#pragma once

#include <libraries/consensus/types.h>

namespace catkinlanding::consensus {

/// The id of a new disk, from a random number. The id of a first disk contains a hash of the
/// founders, so that it votes in no founding by other instances. Versions without the hash check
/// only that the id is odd, so they read it as a first disk too.
[[nodiscard]] std::uint64_t make_disk_id(std::uint64_t random, bool is_first_start,
                                         std::vector<base::instance_id> founders);

/// Whether the disk was empty when these founders started for the first time, so that no disk of
/// its instance can belong to a group that they founded before. The order of the founders doesn't
/// matter.
[[nodiscard]] bool is_first_disk_of(voter const& v, std::vector<base::instance_id> founders);

} // namespace catkinlanding::consensus
