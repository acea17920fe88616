#include <libraries/base/try.h>
#include <libraries/base/verify.h>
#include <libraries/storage/journal.h>
#include <services/daemon/data_folder.h>
#include <services/daemon/disk_identity.h>

namespace catkinlanding::daemon {

namespace {

using error_kind = enum data_folder_error::kind;

struct opened_journal {
  journal_file file;
  std::vector<std::string> records;
};

/// Opens a journal, truncates a partially written record at its end, and writes the header if the
/// file is empty.
tl::expected<opened_journal, data_folder_error> open_journal(std::filesystem::path const& path) {
  auto const fail = [&](error_kind kind) {
    return tl::unexpected(data_folder_error{.kind = kind, .path = path});
  };
  auto file = journal_file::open(path);
  if (!file) {
    return fail(error_kind::unreadable);
  }
  auto const bytes = file->read_all();
  if (!bytes) {
    return fail(error_kind::unreadable);
  }
  auto content = storage::read_journal(*bytes);
  if (!content) {
    bool const is_corrupt = content.error() == storage::journal_error::corrupt;
    return fail(is_corrupt ? error_kind::corrupt : error_kind::unknown_format);
  }
  if (content->valid_bytes < bytes->size() && !file->truncate(content->valid_bytes)) {
    return fail(error_kind::unreadable);
  }
  if (content->valid_bytes == 0 && (!file->append(storage::journal_header()) || !file->sync())) {
    return fail(error_kind::unreadable);
  }
  return opened_journal{std::move(*file), std::move(content->records)};
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
  return storage::journal_header() +
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
  auto state = storage::recover_log(log.records);
  if (!state) {
    return tl::unexpected(data_folder_error{.kind = error_kind::corrupt, .path = path / "log"});
  }
  auto bills = storage::recover_ledger(ledger.records);
  if (!bills) {
    return tl::unexpected(data_folder_error{.kind = error_kind::corrupt, .path = path / "ledger"});
  }
  return std::unique_ptr<data_folder>(
      new data_folder(disk_id, {.log = std::move(*state), .bills = std::move(*bills)},
                      std::move(log.file), std::move(ledger.file), std::move(callbacks)));
}

data_folder::data_folder(std::uint64_t disk_id, instance::reducer::recovered recovered,
                         journal_file log, journal_file ledger, callbacks callbacks)
    : m_disk_id(disk_id), m_recovered(std::move(recovered)), m_callbacks(std::move(callbacks)),
      m_log(std::move(log), compact_log, m_callbacks.failed),
      m_ledger(std::move(ledger), keep_unchanged, m_callbacks.failed) {}

void data_folder::write(consensus::durable_write const& write) {
  m_log.submit({.bytes = storage::frame_record(storage::encode_log_write(write)),
                .needs_compaction = write.snapshot.has_value(),
                .done = [this, id = write.id] { m_callbacks.log_written(id); }});
}

void data_folder::write(billing::ledger_write const& write) {
  m_ledger.submit({.bytes = storage::frame_record(storage::encode_ledger_write(write.bills)),
                   .needs_compaction = false,
                   .done = [this, id = write.id] { m_callbacks.ledger_written(id); }});
}

} // namespace catkinlanding::daemon
