#include <libraries/base/try.h>
#include <services/daemon/journal_file.h>

#include <sys/stat.h>

#include <array>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace catkinlanding::daemon {

namespace {

constexpr int owner_read_write_mode = 0600;
constexpr std::size_t read_size = 64 * 1024;

tl::expected<void, file_error> sync_folder(std::filesystem::path const& folder) {
  int const descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return tl::unexpected(file_error::sync_failed);
  }
  int const result = ::fsync(descriptor);
  ::close(descriptor);
  if (result != 0) {
    return tl::unexpected(file_error::sync_failed);
  }
  return {};
}

} // namespace

journal_file::journal_file(std::filesystem::path path, int descriptor)
    : m_path(std::move(path)), m_descriptor(descriptor) {}

journal_file::journal_file(journal_file&& other) noexcept
    : m_path(std::move(other.m_path)), m_descriptor(std::exchange(other.m_descriptor, -1)) {}

journal_file& journal_file::operator=(journal_file&& other) noexcept {
  std::swap(m_path, other.m_path);
  std::swap(m_descriptor, other.m_descriptor);
  return *this;
}

journal_file::~journal_file() {
  if (m_descriptor >= 0) {
    ::close(m_descriptor);
  }
}

tl::expected<journal_file, file_error> journal_file::open(std::filesystem::path path) {
  int const descriptor =
      ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, owner_read_write_mode);
  if (descriptor < 0) {
    return tl::unexpected(file_error::open_failed);
  }
  journal_file file(std::move(path), descriptor);
  CATKINLANDING_TRY_VOID(sync_folder(file.m_path.parent_path()));
  return file;
}

tl::expected<std::string, file_error> journal_file::read_all() const {
  std::string content;
  std::array<char, read_size> buffer{};
  while (true) {
    auto const count =
        ::pread(m_descriptor, buffer.data(), buffer.size(), static_cast<off_t>(content.size()));
    if (count < 0) {
      return tl::unexpected(file_error::read_failed);
    }
    if (count == 0) {
      return content;
    }
    content.append(buffer.data(), static_cast<std::size_t>(count));
  }
}

tl::expected<std::size_t, file_error> journal_file::size() const {
  struct stat found {};
  if (::fstat(m_descriptor, &found) != 0) {
    return tl::unexpected(file_error::read_failed);
  }
  return static_cast<std::size_t>(found.st_size);
}

tl::expected<void, file_error> journal_file::truncate(std::size_t size) {
  if (::ftruncate(m_descriptor, static_cast<off_t>(size)) != 0) {
    return tl::unexpected(file_error::write_failed);
  }
  return sync();
}

tl::expected<void, file_error> journal_file::append(std::string_view bytes) {
  while (!bytes.empty()) {
    auto const count = ::write(m_descriptor, bytes.data(), bytes.size());
    if (count < 0) {
      return tl::unexpected(file_error::write_failed);
    }
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return {};
}

tl::expected<void, file_error> journal_file::append_whole(std::string_view bytes) {
  auto const previous_size = CATKINLANDING_TRY(size());
  auto const appended = append(bytes);
  if (!appended && !truncate(previous_size)) {
    return tl::unexpected(file_error::sync_failed);
  }
  return appended;
}

tl::expected<void, file_error> journal_file::sync() {
  if (::fdatasync(m_descriptor) != 0) {
    return tl::unexpected(file_error::sync_failed);
  }
  return {};
}

tl::expected<void, file_error> journal_file::replace(std::string_view bytes) {
  auto new_path = m_path;
  new_path += ".new";
  std::error_code ignored;
  std::filesystem::remove(new_path, ignored);
  auto next = CATKINLANDING_TRY(open(new_path));
  CATKINLANDING_TRY_VOID(next.append(bytes));
  CATKINLANDING_TRY_VOID(next.sync());
  if (::rename(new_path.c_str(), m_path.c_str()) != 0) {
    return tl::unexpected(file_error::rename_failed);
  }
  CATKINLANDING_TRY_VOID(sync_folder(m_path.parent_path()));
  std::swap(m_descriptor, next.m_descriptor);
  return {};
}

} // namespace catkinlanding::daemon
