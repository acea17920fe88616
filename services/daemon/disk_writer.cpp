#include <libraries/base/try.h>
#include <services/daemon/disk_writer.h>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace catkinlanding::daemon {

namespace {

constexpr std::chrono::milliseconds full_disk_retry_interval{200};

} // namespace

disk_writer::disk_writer(journal_file file, compactor compactor, failure_handler on_failure,
                         std::string sync_mark)
    : m_file(std::move(file)), m_compactor(std::move(compactor)),
      m_on_failure(std::move(on_failure)), m_sync_mark(std::move(sync_mark)),
      m_thread([this] { run(); }) {}

disk_writer::~disk_writer() {
  {
    std::scoped_lock const lock(m_mutex);
    m_is_stopping = true;
  }
  m_wakeup.notify_one();
  m_thread.join();
}

void disk_writer::submit(job job) {
  {
    std::scoped_lock const lock(m_mutex);
    m_jobs.push_back(std::move(job));
  }
  m_wakeup.notify_one();
}

void disk_writer::run() {
  while (true) {
    std::deque<job> jobs;
    {
      std::unique_lock lock(m_mutex);
      m_wakeup.wait(lock, [this] { return m_is_stopping || !m_jobs.empty(); });
      if (m_jobs.empty()) {
        return;
      }
      jobs.swap(m_jobs);
    }
    if (auto const stored = store_with_retries(jobs); !stored) {
      m_on_failure(stored.error());
      return;
    }
    for (auto const& job : jobs) {
      job.done();
    }
    if (auto const marked = mark_synced(); !marked) {
      m_on_failure(marked.error());
      return;
    }
  }
}

tl::expected<void, file_error> disk_writer::store_with_retries(std::deque<job> const& jobs) {
  bool was_full = false;
  while (true) {
    auto stored = store(jobs);
    bool const is_full = !stored && stored.error() == file_error::write_failed;
    if (is_full != was_full) {
      was_full = is_full;
      spdlog::warn("disk {} jobs={}", is_full ? "full" : "writable", jobs.size());
    }
    if (!is_full || wait_before_retry()) {
      return stored;
    }
  }
}

tl::expected<void, file_error> disk_writer::store(std::deque<job> const& jobs) {
  CATKINLANDING_TRY_VOID(append(jobs));
  bool const needs_compaction =
      std::ranges::any_of(jobs, [](job const& job) { return job.needs_compaction; });
  if (needs_compaction) {
    auto const content = CATKINLANDING_TRY(m_file.read_all());
    auto const replaced = m_file.replace(m_compactor(content));
    bool const is_full = !replaced && replaced.error() == file_error::write_failed;
    if (!is_full) {
      return replaced;
    }
    // The longer file recovers to the same state. The next snapshot tries to compact it again.
    spdlog::warn("disk full compacts=false");
  }
  return m_file.sync();
}

tl::expected<void, file_error> disk_writer::append(std::deque<job> const& jobs) {
  std::string bytes = m_is_marked ? "" : m_sync_mark;
  for (auto const& job : jobs) {
    bytes += job.bytes;
  }
  return m_file.append_whole(bytes);
}

tl::expected<void, file_error> disk_writer::mark_synced() {
  auto const marked = m_file.append_whole(m_sync_mark);
  m_is_marked = marked.has_value();
  bool const is_full = !marked && marked.error() == file_error::write_failed;
  return is_full ? tl::expected<void, file_error>{} : marked;
}

bool disk_writer::wait_before_retry() {
  ++m_full_disk_retries;
  std::unique_lock lock(m_mutex);
  return m_wakeup.wait_for(lock, full_disk_retry_interval, [this] { return m_is_stopping; });
}

} // namespace catkinlanding::daemon
