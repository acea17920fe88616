#pragma once

#include <services/daemon/journal_file.h>

#include <cstdint>
#include <filesystem>

namespace catkinlanding::daemon {

/// Why the disk id can't be loaded.
enum class disk_identity_error : std::uint8_t {
  unreadable,
  /// The file doesn't contain a valid identity.
  corrupt,
  /// The file's inode or creation time differs from the recorded one, so it is a copy.
  copied,
};

/// How to treat a file whose inode or creation time differs from the recorded one.
enum class moved_file_policy : std::uint8_t {
  /// Rejects it: a restored copy may be older than the state of the voter that it identifies.
  treat_as_copy,
  /// Accepts it. For platforms that move files when a machine restarts but never restore older
  /// ones.
  treat_as_original,
};

/// The random id of a data folder, which identifies its instance as a voter. The file also records
/// its own inode and creation time. A restored copy gets other ones, which distinguishes it from
/// the original, whose instance may have voted after the copy was made.
class disk_identity {
public:
  /// Reads the id from the file, or writes `new_id` to it if it is missing or empty.
  [[nodiscard]] static tl::expected<std::uint64_t, disk_identity_error>
  load_or_create(std::filesystem::path const& path, std::uint64_t new_id,
                 moved_file_policy moved = moved_file_policy::treat_as_copy);
};

} // namespace catkinlanding::daemon
