#pragma once

#include <libraries/instance/reducer.h>
#include <services/daemon/disk_identity.h>
#include <services/daemon/disk_writer.h>

#include <filesystem>
#include <memory>
#include <variant>

namespace catkinlanding::daemon {

/// Why the data folder can't be used. A rejected folder is left unchanged.
struct data_folder_error {
  enum class kind {
    not_a_folder,
    unreadable,
    corrupt,
    unknown_format,
    /// The folder is a restored copy. It may lack writes that the instance acknowledged after the
    /// copy was made, and voting without them could lose them.
    copied,
  };

  kind kind = kind::unreadable;
  std::filesystem::path path;
};

[[nodiscard]] char const* name_of(enum data_folder_error::kind kind);

/// The persistent files of an instance with the control role: disk id, log and ledger.
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

  /// Returns the state that was read from the files at the start. May be called only once.
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
