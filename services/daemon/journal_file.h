#pragma once

#include <tl/expected.hpp>

#include <filesystem>
#include <string>
#include <string_view>

namespace catkinlanding::daemon {

enum class file_error { open_failed, read_failed, write_failed, sync_failed, rename_failed };

/// An append-only file. Appended bytes are durable only after `sync`.
class journal_file {
public:
  /// Opens the file, or creates it if it doesn't exist.
  [[nodiscard]] static tl::expected<journal_file, file_error> open(std::filesystem::path path);

  journal_file(journal_file&& other) noexcept;
  journal_file& operator=(journal_file&& other) noexcept;
  journal_file(journal_file const&) = delete;
  journal_file& operator=(journal_file const&) = delete;
  ~journal_file();

  [[nodiscard]] tl::expected<std::string, file_error> read_all() const;
  [[nodiscard]] tl::expected<std::size_t, file_error> size() const;
  [[nodiscard]] tl::expected<void, file_error> truncate(std::size_t size);
  [[nodiscard]] tl::expected<void, file_error> append(std::string_view bytes);
  /// Appends all of the bytes, or returns `write_failed` and leaves the file as it was. After any
  /// other error the end of the file is unknown.
  [[nodiscard]] tl::expected<void, file_error> append_whole(std::string_view bytes);
  [[nodiscard]] tl::expected<void, file_error> sync();

  /// Replaces the file by a new one with this content, atomically and durably.
  [[nodiscard]] tl::expected<void, file_error> replace(std::string_view bytes);

private:
  journal_file(std::filesystem::path path, int descriptor);

  std::filesystem::path m_path;
  int m_descriptor = -1;
};

} // namespace catkinlanding::daemon
