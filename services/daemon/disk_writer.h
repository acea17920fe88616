#pragma once

#include <services/daemon/journal_file.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace catkinlanding::daemon {

/// Appends to one journal file on a thread of its own, and syncs once for all that waits. A disk
/// that takes no more bytes is tried again until it does; what waits for it is not reported done.
class disk_writer {
public:
  struct job {
    /// A framed record.
    std::string bytes;
    /// Whether the file holds more than is needed after this, so that it should be rewritten.
    bool needs_compaction = false;
    /// Called on the writer's thread, after the sync.
    std::function<void()> done;
  };

  /// Makes the content of a smaller file that says the same as the given one.
  using compactor = std::function<std::string(std::string const& content)>;
  /// Called on the writer's thread when the disk failed; nothing is reported done after that.
  using failure_handler = std::function<void(file_error)>;

  disk_writer(journal_file file, compactor compactor, failure_handler on_failure);
  disk_writer(disk_writer const&) = delete;
  disk_writer& operator=(disk_writer const&) = delete;
  ~disk_writer();

  void submit(job job);

  /// How often the disk was full.
  [[nodiscard]] std::uint64_t full_disk_retries() const { return m_full_disk_retries; }

private:
  void run();
  /// Stores the jobs, and waits for a full disk. Returns nothing else than what can't be mended.
  [[nodiscard]] tl::expected<void, file_error> store_with_retries(std::deque<job> const& jobs);
  [[nodiscard]] tl::expected<void, file_error> store(std::deque<job> const& jobs);
  /// Appends all of the jobs or, where the disk takes no more bytes, none.
  [[nodiscard]] tl::expected<void, file_error> append(std::deque<job> const& jobs);
  /// Whether the writer was stopped while it waited.
  [[nodiscard]] bool wait_before_retry();

  journal_file m_file;
  compactor m_compactor;
  failure_handler m_on_failure;
  std::mutex m_mutex;
  std::condition_variable m_wakeup;
  std::deque<job> m_jobs;
  bool m_is_stopping = false;
  std::atomic<std::uint64_t> m_full_disk_retries = 0;
  std::thread m_thread;
};

} // namespace catkinlanding::daemon
