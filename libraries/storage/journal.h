#pragma once

#include <libraries/billing/bill.h>
#include <libraries/consensus/types.h>

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

/// The format of the files in the data folder. The daemon performs the file I/O.
namespace catkinlanding::storage {

enum class journal_error : std::uint8_t {
  /// A record that was synced can't be read.
  corrupt,
  /// The file was written in an unknown format.
  unknown_format,
};

/// The header of a new file.
[[nodiscard]] std::string journal_header();

/// Encodes one record, prefixed by its length and checksums.
[[nodiscard]] std::string frame_record(std::string_view payload);

/// Framed records that change nothing, called sync marks. A writer appends one after each sync and
/// before the next record, so that a mark states that all bytes before it were synced.
[[nodiscard]] std::string log_sync_mark();
[[nodiscard]] std::string ledger_sync_mark();

/// The records of a file, sync marks included, and the size of its valid part.
struct journal_content {
  std::vector<std::string> records;
  /// Bytes after this offset were not synced, and begin with a damaged record. The writer truncates
  /// them.
  std::size_t valid_bytes = 0;
  std::size_t left_out_bytes = 0;
  /// The whole records among the bytes that are left out.
  std::size_t left_out_records = 0;
};

/// Parses a file up to its first damaged record. The damage is an error if the record was synced,
/// as a later sync mark shows. In a file without marks only the last record may be damaged.
[[nodiscard]] tl::expected<journal_content, journal_error> read_journal(std::string_view bytes);

[[nodiscard]] std::string encode_log_write(consensus::durable_write const& write);
[[nodiscard]] std::string encode_ledger_write(std::vector<billing::bill> const& bills);

/// Recovers the state of the log by replaying the writes in order.
[[nodiscard]] tl::expected<consensus::recovered_state, journal_error>
recover_log(std::vector<std::string> const& records);

/// A single write that recovers to the same state, used to compact the file.
[[nodiscard]] consensus::durable_write compacted_write(consensus::recovered_state const& state);

[[nodiscard]] tl::expected<std::vector<billing::bill>, journal_error>
recover_ledger(std::vector<std::string> const& records);

} // namespace catkinlanding::storage
