#pragma once

#include <services/daemon/journal_file.h>

#include <cstdint>
#include <filesystem>

namespace catkinlanding::daemon {

/// Why the identity of a disk can't be read.
enum class disk_identity_error : std::uint8_t {
  unreadable,
  /// The file does not hold an identity.
  corrupt,
  /// The file is a copy of one that was written elsewhere or earlier.
  copied,
};

/// What to make of a file that is not where it was written.
enum class moved_file_policy : std::uint8_t {
  /// It is a copy, and may be older than the state of the voter that it names.
  treat_as_copy,
  /// The platform moves files when a machine restarts, and never puts older ones back.
  treat_as_original,
};

/// The random id of a data folder, under which its instance votes. The file also names the place
/// that the file system gave it, its inode and the time of its birth. A copy that is put back gets
/// another place, so it is told from the folder that went on voting after the copy was made.
class disk_identity {
public:
  /// Reads the file, or writes it with `new_id` if there is none.
  [[nodiscard]] static tl::expected<std::uint64_t, disk_identity_error>
  load_or_create(std::filesystem::path const& path, std::uint64_t new_id,
                 moved_file_policy moved = moved_file_policy::treat_as_copy);
};

} // namespace catkinlanding::daemon
