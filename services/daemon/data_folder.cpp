#include <libraries/base/try.h>
#include <libraries/base/verify.h>
#include <libraries/storage/journal.h>
#include <services/daemon/data_folder.h>
#include <services/daemon/disk_identity.h>

#include <spdlog/spdlog.h>

namespace catkinlanding::daemon {

namespace {

using error_kind = enum data_folder_error::kind;

struct opened_journal {
  std::filesystem::path path;
  journal_file file;
  storage::journal_content content;
};

tl::unexpected<data_folder_error> failure(error_kind kind, std::filesystem::path const& path) {
  return tl::unexpected(data_folder_error{.kind = kind, .path = path});
}

/// Reads a journal, or creates an empty file. An existing file is left unchanged.
tl::expected<opened_journal, data_folder_error> open_journal(std::filesystem::path const& path) {
  auto file = journal_file::open(path);
  if (!file) {
    return failure(error_kind::unreadable, path);
  }
  auto const bytes = file->read_all();
  if (!bytes) {
    return failure(error_kind::unreadable, path);
  }
  auto content = storage::read_journal(*bytes);
  if (!content) {
    bool const is_corrupt = content.error() == storage::journal_error::corrupt;
    return failure(is_corrupt ? error_kind::corrupt : error_kind::unknown_format, path);
  }
  return opened_journal{path, std::move(*file), std::move(*content)};
}

/// Removes what was not synced from the end of a journal, and syncs the rest: a killed process may
/// have left records that only the page cache holds.
tl::expected<void, file_error> sync_valid_part(opened_journal& journal) {
  auto const& content = journal.content;
  if (content.left_out_bytes > 0) {
    spdlog::warn("journal cut path={} offset={} bytes={} whole_records={}", journal.path.string(),
                 content.valid_bytes, content.left_out_bytes, content.left_out_records);
    CATKINLANDING_TRY_VOID(journal.file.truncate(content.valid_bytes));
  }
  if (content.valid_bytes == 0) {
    CATKINLANDING_TRY_VOID(journal.file.append(storage::journal_header()));
  }
  return journal.file.sync();
}

/// Makes a journal ready for a writer: it holds no damage, is synced, and says so.
tl::expected<void, data_folder_error> prepare(opened_journal& journal,
                                              std::string const& sync_mark) {
  if (!sync_valid_part(journal)) {
    return failure(error_kind::unreadable, journal.path);
  }
  // On a full disk, the writer appends the mark before its first record.
  auto const marked = journal.file.append_whole(sync_mark);
  bool const is_full = !marked && marked.error() == file_error::write_failed;
  if (!is_full && (!marked || !journal.file.sync())) {
    return failure(error_kind::unreadable, journal.path);
  }
  return {};
}

error_kind kind_of(disk_identity_error error) {
  switch (error) {
  case disk_identity_error::unreadable:
    return error_kind::unreadable;
  case disk_identity_error::corrupt:
    return error_kind::corrupt;
  case disk_identity_error::copied:
    return error_kind::copied;
  }
  return error_kind::unreadable;
}

tl::expected<std::uint64_t, data_folder_error>
load_disk_id(std::filesystem::path const& path, std::uint64_t new_id, moved_file_policy moved) {
  return disk_identity::load_or_create(path, new_id, moved)
      .map_error([&](disk_identity_error error) {
        return data_folder_error{.kind = kind_of(error), .path = path};
      });
}

std::string compact_log(std::string const& content) {
  auto const journal = storage::read_journal(content);
  CATKINLANDING_VERIFY(journal.has_value());
  auto const state = storage::recover_log(journal->records);
  CATKINLANDING_VERIFY(state.has_value());
  return storage::journal_header() + storage::log_sync_mark() +
         storage::frame_record(storage::encode_log_write(storage::compacted_write(*state)));
}

std::string keep_unchanged(std::string const& content) {
  return content;
}

} // namespace

char const* name_of(enum data_folder_error::kind kind) {
  switch (kind) {
  case error_kind::not_a_folder:
    return "not_a_folder";
  case error_kind::unreadable:
    return "unreadable";
  case error_kind::corrupt:
    return "corrupt";
  case error_kind::unknown_format:
    return "unknown_format";
  case error_kind::copied:
    return "copied";
  }
  return "unknown";
}

tl::expected<std::unique_ptr<data_folder>, data_folder_error>
data_folder::open(std::filesystem::path const& path, std::uint64_t new_disk_id, callbacks callbacks,
                  moved_file_policy moved) {
  std::error_code failed;
  std::filesystem::create_directories(path, failed);
  if (failed || !std::filesystem::is_directory(path)) {
    return tl::unexpected(data_folder_error{.kind = error_kind::not_a_folder, .path = path});
  }
  auto const disk_id = CATKINLANDING_TRY(load_disk_id(path / "disk_id", new_disk_id, moved));
  auto log = CATKINLANDING_TRY(open_journal(path / "log"));
  auto ledger = CATKINLANDING_TRY(open_journal(path / "ledger"));
  auto state = storage::recover_log(log.content.records);
  if (!state) {
    return failure(error_kind::corrupt, log.path);
  }
  auto bills = storage::recover_ledger(ledger.content.records);
  if (!bills) {
    return failure(error_kind::corrupt, ledger.path);
  }
  CATKINLANDING_TRY_VOID(prepare(log, storage::log_sync_mark()));
  CATKINLANDING_TRY_VOID(prepare(ledger, storage::ledger_sync_mark()));
  return std::unique_ptr<data_folder>(
      new data_folder(disk_id, {.log = std::move(*state), .bills = std::move(*bills)},
                      std::move(log.file), std::move(ledger.file), std::move(callbacks)));
}

data_folder::data_folder(std::uint64_t disk_id, instance::reducer::recovered recovered,
                         journal_file log, journal_file ledger, callbacks callbacks)
    : m_disk_id(disk_id), m_recovered(std::move(recovered)), m_callbacks(std::move(callbacks)),
      m_log(std::move(log), compact_log, m_callbacks.failed, storage::log_sync_mark()),
      m_ledger(std::move(ledger), keep_unchanged, m_callbacks.failed, storage::ledger_sync_mark()) {
}

void data_folder::write(consensus::durable_write const& write) {
  m_log.submit({.bytes = storage::frame_record(storage::encode_log_write(write)),
                .needs_compaction = write.snapshot.has_value(),
                .done = [this, id = write.id] { m_callbacks.log_written(id); }});
}

void data_folder::write(billing::ledger_write const& write) {
  // Empty writes only wait for earlier ones. Two of them stored in a row would be a sync mark.
  auto bytes = write.bills.empty()
                   ? std::string()
                   : storage::frame_record(storage::encode_ledger_write(write.bills));
  m_ledger.submit({.bytes = std::move(bytes),
                   .needs_compaction = false,
                   .done = [this, id = write.id] { m_callbacks.ledger_written(id); }});
}

} // namespace catkinlanding::daemon
