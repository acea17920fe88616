#pragma once

#include <libraries/billing/bill.h>
#include <libraries/consensus/types.h>

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

/// The form of the files in the data folder. Reading and writing them is the daemon's part.
namespace catkinlanding::storage {

enum class journal_error : std::uint8_t {
  /// A record in the middle of the file does not match its checksum.
  corrupt,
  /// The file was written in a format that this program does not know.
  unknown_format,
};

/// The first bytes of a new file.
[[nodiscard]] std::string journal_header();

/// One record with its length and checksum in front.
[[nodiscard]] std::string frame_record(std::string_view payload);

/// The records of a file, and how many bytes of it are whole.
struct journal_content {
  std::vector<std::string> records;
  /// What lies behind is a torn tail, which the writer cuts off.
  std::size_t valid_bytes = 0;
};

/// Takes a file apart. A damaged last record is a torn write; a damaged one before it is an error.
[[nodiscard]] tl::expected<journal_content, journal_error> read_journal(std::string_view bytes);

[[nodiscard]] std::string encode_log_write(consensus::durable_write const& write);
[[nodiscard]] std::string encode_ledger_write(std::vector<billing::bill> const& bills);

/// Replays the writes of a log file in their order.
[[nodiscard]] tl::expected<consensus::recovered_state, journal_error>
recover_log(std::vector<std::string> const& records);

/// A single write that leaves the same state as all those that were replayed.
[[nodiscard]] consensus::durable_write compacted_write(consensus::recovered_state const& state);

[[nodiscard]] tl::expected<std::vector<billing::bill>, journal_error>
recover_ledger(std::vector<std::string> const& records);

} // namespace catkinlanding::storage
