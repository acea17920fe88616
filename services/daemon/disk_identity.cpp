#include <libraries/base/try.h>
#include <services/daemon/disk_identity.h>

#include <nlohmann/json.hpp>
#include <sys/stat.h>

#include <cstdio>
#include <fcntl.h>
#include <optional>

namespace catkinlanding::daemon {

namespace {

using nlohmann::json;

/// Returns a file's inode and creation time. The device number is left out because it may change
/// when the machine restarts.
json file_location(std::filesystem::path const& path) {
  struct statx found {};
  if (::statx(AT_FDCWD, path.c_str(), 0, STATX_INO | STATX_BTIME, &found) != 0) {
    return nullptr;
  }
  json location = {{"inode", found.stx_ino}};
  if ((found.stx_mask & STATX_BTIME) != 0) {
    location["born"] = {found.stx_btime.tv_sec, found.stx_btime.tv_nsec};
  }
  return location;
}

/// Writes the identity to a temporary file and renames it, so that a crash leaves either no
/// identity or a complete one. The rename keeps the inode and creation time that the identity
/// records.
tl::expected<void, file_error> write_identity(std::filesystem::path const& path, std::uint64_t id) {
  auto new_path = path;
  new_path += ".new";
  std::error_code ignored;
  std::filesystem::remove(new_path, ignored);
  auto file = CATKINLANDING_TRY(journal_file::open(new_path));
  json const content = {{"id", id}, {"place", file_location(new_path)}};
  CATKINLANDING_TRY_VOID(file.append(content.dump()));
  CATKINLANDING_TRY_VOID(file.sync());
  if (::rename(new_path.c_str(), path.c_str()) != 0) {
    return tl::unexpected(file_error::rename_failed);
  }
  // `open` syncs the folder, which makes the rename durable.
  CATKINLANDING_TRY(journal_file::open(path));
  return {};
}

tl::expected<std::uint64_t, disk_identity_error> create(std::filesystem::path const& path,
                                                        std::uint64_t id) {
  if (!write_identity(path, id)) {
    return tl::unexpected(disk_identity_error::unreadable);
  }
  return id;
}

std::optional<std::uint64_t> parse_id(json const& content) {
  bool const is_valid = content.is_object() && content.contains("place") &&
                        content.contains("id") && content["id"].is_number_unsigned();
  return is_valid ? std::optional(content["id"].get<std::uint64_t>()) : std::nullopt;
}

} // namespace

tl::expected<std::uint64_t, disk_identity_error>
disk_identity::load_or_create(std::filesystem::path const& path, std::uint64_t new_id,
                              moved_file_policy moved) {
  auto file = journal_file::open(path);
  if (!file) {
    return tl::unexpected(disk_identity_error::unreadable);
  }
  auto const text = file->read_all();
  if (!text) {
    return tl::unexpected(disk_identity_error::unreadable);
  }
  if (text->empty()) {
    return create(path, new_id);
  }
  auto const content = json::parse(*text, nullptr, /*allow_exceptions=*/false);
  if (content.is_number_unsigned()) {
    // Files of older versions contain only the number. Rewrites such a file in the current format.
    return create(path, content.get<std::uint64_t>());
  }
  auto const id = parse_id(content);
  if (!id) {
    return tl::unexpected(disk_identity_error::corrupt);
  }
  if (moved == moved_file_policy::treat_as_copy && content["place"] != file_location(path)) {
    return tl::unexpected(disk_identity_error::copied);
  }
  return *id;
}

} // namespace catkinlanding::daemon
