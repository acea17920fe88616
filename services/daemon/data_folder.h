#pragma once

#include <libraries/instance/reducer.h>
#include <services/daemon/disk_identity.h>
#include <services/daemon/disk_writer.h>

#include <filesystem>
#include <memory>
#include <variant>

namespace catkinlanding::daemon {

/// Why the data folder can't be used. A folder that is refused is left as it is.
struct data_folder_error {
  enum class kind {
    not_a_folder,
    unreadable,
    corrupt,
    unknown_format,
    /// An older copy was put back. Voting with it could undo what its instance acknowledged since.
    copied,
  };

  kind kind = kind::unreadable;
  std::filesystem::path path;
};

[[nodiscard]] char const* name_of(enum data_folder_error::kind kind);

/// The files of an instance with the control role: its disk id, the log and the ledger.
class data_folder {
public:
  struct callbacks {
    std::function<void(consensus::write_id)> log_written;
    std::function<void(std::uint64_t)> ledger_written;
    disk_writer::failure_handler failed;
  };

  [[nodiscard]] static tl::expected<std::unique_ptr<data_folder>, data_folder_error>
  open(std::filesystem::path const& path, std::uint64_t new_disk_id, callbacks callbacks,
       moved_file_policy moved = moved_file_policy::treat_as_copy);

  /// What the files held at the start. Can be taken once.
  [[nodiscard]] instance::reducer::recovered take_recovered() { return std::move(m_recovered); }
  [[nodiscard]] std::uint64_t disk_id() const { return m_disk_id; }

  void write(consensus::durable_write const& write);
  void write(billing::ledger_write const& write);

private:
  data_folder(std::uint64_t disk_id, instance::reducer::recovered recovered, journal_file log,
              journal_file ledger, callbacks callbacks);

  std::uint64_t m_disk_id;
  instance::reducer::recovered m_recovered;
  callbacks m_callbacks;
  disk_writer m_log;
  disk_writer m_ledger;
};

} // namespace catkinlanding::daemon
