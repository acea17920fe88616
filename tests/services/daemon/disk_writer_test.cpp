#include <services/daemon/disk_writer.h>

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <future>
#include <thread>
#include <unistd.h>

namespace catkinlanding::daemon {

namespace {

/// Limits the size of files that this process writes, to simulate a full disk.
void limit_file_size(rlim_t bytes) {
  rlimit limit{};
  ASSERT_EQ(::getrlimit(RLIMIT_FSIZE, &limit), 0);
  limit.rlim_cur = bytes;
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &limit), 0);
}

TEST(disk_writers, retry_on_a_full_disk_and_leave_no_partial_record) {
  std::signal(SIGXFSZ, SIG_IGN);
  auto pattern = (std::filesystem::temp_directory_path() / "catkinlanding.XXXXXX").string();
  ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
  std::filesystem::path const path = std::filesystem::path(pattern) / "log";
  auto file = journal_file::open(path);
  ASSERT_TRUE(file.has_value());
  constexpr rlim_t max_file_size = 10;
  limit_file_size(max_file_size);
  std::promise<void> stored;
  std::atomic<bool> has_failed = false;
  {
    disk_writer writer(
        std::move(*file), [](std::string const& content) { return content; },
        [&](file_error /*error*/) { has_failed = true; });
    writer.submit({.bytes = "0123456789abcdef", .done = [&] { stored.set_value(); }});
    while (writer.full_disk_retries() == 0 && !has_failed) {
      std::this_thread::yield();
    }
    limit_file_size(RLIM_INFINITY);
    if (!has_failed) {
      stored.get_future().wait();
    }
  }
  EXPECT_FALSE(has_failed);
  auto const reopened = journal_file::open(path);
  ASSERT_TRUE(reopened.has_value());
  EXPECT_EQ(reopened->read_all(), "0123456789abcdef");
  std::filesystem::remove_all(pattern);
}

// A mark that a full disk refused must not be missing before the records of the next sync.
TEST(disk_writers, append_sync_mark_before_next_records_if_disk_was_full) {
  std::signal(SIGXFSZ, SIG_IGN);
  auto pattern = (std::filesystem::temp_directory_path() / "catkinlanding.XXXXXX").string();
  ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
  std::filesystem::path const path = std::filesystem::path(pattern) / "log";
  auto file = journal_file::open(path);
  ASSERT_TRUE(file.has_value());
  limit_file_size(std::string_view("mark one two").size());
  std::atomic<bool> has_failed = false;
  {
    std::promise<void> first_stored;
    std::promise<void> second_stored;
    disk_writer writer(
        std::move(*file), [](std::string const& content) { return content; },
        [&](file_error /*error*/) { has_failed = true; }, "mark ");
    writer.submit({.bytes = "one two", .done = [&] { first_stored.set_value(); }});
    first_stored.get_future().wait();
    writer.submit({.bytes = "three ", .done = [&] { second_stored.set_value(); }});
    while (writer.full_disk_retries() == 0 && !has_failed) {
      std::this_thread::yield();
    }
    limit_file_size(RLIM_INFINITY);
    if (!has_failed) {
      second_stored.get_future().wait();
    }
  }
  EXPECT_FALSE(has_failed);
  auto const reopened = journal_file::open(path);
  ASSERT_TRUE(reopened.has_value());
  EXPECT_EQ(reopened->read_all(), "mark one twomark three mark ");
  std::filesystem::remove_all(pattern);
}

} // namespace

} // namespace catkinlanding::daemon
