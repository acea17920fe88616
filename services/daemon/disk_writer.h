#pragma once

#include <services/daemon/journal_file.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace catkinlanding::daemon {

/// Appends records to a journal file on its own thread, with one sync for all queued jobs. While
/// the disk is full it retries, and reports the jobs as done only once they are stored. After each
/// sync, and before the records of the next one, it appends a sync mark, so that a reader can tell
/// damage to synced records from writes that a loss of power took.
class disk_writer {
public:
  struct job {
    /// A framed record.
    std::string bytes;
    /// Whether this record makes earlier ones obsolete, so that the file should be compacted.
    bool needs_compaction = false;
    /// Called on the writer's thread after the sync.
    std::function<void()> done;
  };

  /// Returns shorter file content that recovers to the same state as the given one.
  using compactor = std::function<std::string(std::string const& content)>;
  /// Called on the writer's thread when jobs can't be stored. No job is reported as done
  /// afterwards.
  using failure_handler = std::function<void(file_error)>;

  /// The file must be synced. An empty `sync_mark` writes no marks.
  disk_writer(journal_file file, compactor compactor, failure_handler on_failure,
              std::string sync_mark = {});
  disk_writer(disk_writer const&) = delete;
  disk_writer& operator=(disk_writer const&) = delete;
  ~disk_writer();

  void submit(job job);

  /// Returns how many times a write was retried because the disk was full.
  [[nodiscard]] std::uint64_t full_disk_retries() const { return m_full_disk_retries; }

private:
  void run();
  /// Stores the jobs, and retries while the disk is full. Returns an error if a retry can't help or
  /// the writer is stopped.
  [[nodiscard]] tl::expected<void, file_error> store_with_retries(std::deque<job> const& jobs);
  [[nodiscard]] tl::expected<void, file_error> store(std::deque<job> const& jobs);
  /// Appends all of the jobs, after a sync mark if it is missing, or nothing if the disk is full.
  [[nodiscard]] tl::expected<void, file_error> append(std::deque<job> const& jobs);
  /// Appends a sync mark after the jobs that were just synced. If the disk is full, the next jobs
  /// bring it.
  [[nodiscard]] tl::expected<void, file_error> mark_synced();
  /// Waits for the retry interval. Returns whether the writer was stopped meanwhile.
  [[nodiscard]] bool wait_before_retry();

  journal_file m_file;
  compactor m_compactor;
  failure_handler m_on_failure;
  std::string m_sync_mark;
  /// Whether the file ends with a sync mark.
  bool m_is_marked = false;
  std::mutex m_mutex;
  std::condition_variable m_wakeup;
  std::deque<job> m_jobs;
  bool m_is_stopping = false;
  std::atomic<std::uint64_t> m_full_disk_retries = 0;
  std::thread m_thread;
};

} // namespace catkinlanding::daemon
