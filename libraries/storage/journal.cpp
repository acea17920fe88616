#include <libraries/base/codec.h>
#include <libraries/base/hash.h>
#include <libraries/storage/journal.h>

#include <algorithm>
#include <limits>
#include <optional>

namespace catkinlanding::storage {

namespace {

constexpr std::string_view file_header = "catkinlanding journal 2\n";
constexpr std::size_t length_bytes = sizeof(std::uint32_t);
/// The length has its own checksum, so that a corrupted length is not mistaken for a torn tail.
constexpr std::size_t length_checksum_bytes = sizeof(std::uint32_t);
constexpr std::size_t checksum_bytes = sizeof(std::uint64_t);
constexpr std::size_t frame_header_bytes = length_bytes + length_checksum_bytes + checksum_bytes;

/// The changes of one write, in the order of the fields of `consensus::durable_write`.
struct log_record {
  std::optional<consensus::hard_state> hard_state;
  std::optional<consensus::log_index> truncate_from;
  std::vector<consensus::log_entry> entries;
  std::optional<consensus::snapshot> snapshot;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(hard_state, truncate_from, entries, snapshot);
  }
};

template<class Number>
void append_number(std::string& bytes, Number number) {
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    bytes.push_back(static_cast<char>((number >> (8 * i)) & 0xffU));
  }
}

template<class Number>
Number decode_number(std::string_view bytes) {
  Number number = 0;
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    number |= static_cast<Number>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  }
  return number;
}

std::uint32_t length_checksum(std::uint32_t length) {
  std::string bytes;
  append_number(bytes, length);
  return static_cast<std::uint32_t>(base::stable_hash(bytes));
}

/// Whether the bytes are all zero: a file system may extend a file before it writes the data.
bool is_zero_filled(std::string_view bytes) {
  return bytes.find_first_not_of('\0') == std::string_view::npos;
}

/// Whether the bytes can be what a loss of power left of a header that was not synced.
bool is_torn_header(std::string_view bytes) {
  bool const is_header_or_zeros =
      std::ranges::equal(bytes, file_header.substr(0, bytes.size()),
                         [](char found, char written) { return found == written || found == 0; });
  return is_header_or_zeros && bytes != file_header;
}

/// The length of the first record's payload; nothing if it is incomplete or damaged.
std::optional<std::size_t> payload_length(std::string_view bytes) {
  if (bytes.size() < frame_header_bytes) {
    return {};
  }
  auto const length = decode_number<std::uint32_t>(bytes);
  if (decode_number<std::uint32_t>(bytes.substr(length_bytes)) != length_checksum(length)) {
    return {};
  }
  return length;
}

/// The payload of the first record; nothing if the record is incomplete or damaged.
std::optional<std::string_view> whole_payload(std::string_view bytes) {
  auto const length = payload_length(bytes);
  if (!length || bytes.size() - frame_header_bytes < *length) {
    return {};
  }
  auto const payload = bytes.substr(frame_header_bytes, *length);
  auto const checksum =
      decode_number<std::uint64_t>(bytes.substr(length_bytes + length_checksum_bytes));
  return base::stable_hash(payload) == checksum ? std::optional(payload) : std::nullopt;
}

/// Whether the bytes can be one record that was torn, with nothing after it.
bool is_torn_record(std::string_view bytes) {
  if (bytes.size() < frame_header_bytes || is_zero_filled(bytes)) {
    return true;
  }
  auto const length = payload_length(bytes);
  return length && bytes.size() - frame_header_bytes <= *length;
}

/// Searches at each offset, as the lengths of damaged records may be lost.
bool contains_sync_mark(std::string_view bytes) {
  return bytes.find(log_sync_mark()) != std::string_view::npos ||
         bytes.find(ledger_sync_mark()) != std::string_view::npos;
}

std::size_t count_whole_records(std::string_view bytes) {
  std::size_t count = 0;
  while (!bytes.empty()) {
    auto const payload = whole_payload(bytes);
    count += payload ? 1 : 0;
    bytes.remove_prefix(payload ? frame_header_bytes + payload->size() : 1);
  }
  return count;
}

void remove_entries_up_to(consensus::recovered_state& state, consensus::log_index index) {
  std::erase_if(state.entries, [&](auto const& entry) { return entry.index <= index; });
}

void replay(log_record& record, consensus::recovered_state& state) {
  if (record.hard_state) {
    state.hard_state = *record.hard_state;
  }
  if (record.truncate_from) {
    std::erase_if(state.entries,
                  [&](auto const& entry) { return entry.index >= *record.truncate_from; });
  }
  if (record.snapshot) {
    state.snapshot = std::move(*record.snapshot);
    remove_entries_up_to(state, state.snapshot.index);
  }
  for (auto& entry : record.entries) {
    state.entries.push_back(std::move(entry));
  }
}

/// Whether the entries follow the snapshot without gaps, with terms that never decrease and don't
/// exceed the term of the hard state.
bool is_consistent(consensus::recovered_state const& state) {
  auto index = state.snapshot.index;
  auto term = state.snapshot.term;
  for (auto const& entry : state.entries) {
    if (entry.index != ++index || entry.term < term) {
      return false;
    }
    term = entry.term;
  }
  return term <= state.hard_state.term;
}

} // namespace

std::string journal_header() {
  return std::string(file_header);
}

std::string frame_record(std::string_view payload) {
  std::string bytes;
  auto const length = static_cast<std::uint32_t>(payload.size());
  bytes.reserve(frame_header_bytes + payload.size());
  append_number(bytes, length);
  append_number(bytes, length_checksum(length));
  append_number(bytes, base::stable_hash(payload));
  bytes += payload;
  return bytes;
}

std::string log_sync_mark() {
  // Removes the entries from the last possible index on, of which there are none.
  consensus::durable_write const nothing{.id = 0,
                                         .hard_state = {},
                                         .truncate_from =
                                             std::numeric_limits<consensus::log_index>::max(),
                                         .entries = {},
                                         .snapshot = {}};
  return frame_record(encode_log_write(nothing));
}

std::string ledger_sync_mark() {
  // Two empty writes in a row: older builds may have written single ones.
  auto const nothing = frame_record(encode_ledger_write({}));
  return nothing + nothing;
}

tl::expected<journal_content, journal_error> read_journal(std::string_view bytes) {
  journal_content content;
  if (is_torn_header(bytes)) {
    content.left_out_bytes = bytes.size();
    return content;
  }
  if (!bytes.starts_with(file_header)) {
    return tl::unexpected(journal_error::unknown_format);
  }
  auto rest = bytes.substr(file_header.size());
  while (auto const payload = whole_payload(rest)) {
    content.records.emplace_back(*payload);
    rest.remove_prefix(frame_header_bytes + payload->size());
  }
  content.valid_bytes = bytes.size() - rest.size();
  bool const has_sync_mark = contains_sync_mark(bytes.substr(0, content.valid_bytes));
  if (contains_sync_mark(rest) || (!has_sync_mark && !is_torn_record(rest))) {
    return tl::unexpected(journal_error::corrupt);
  }
  content.left_out_bytes = rest.size();
  content.left_out_records = count_whole_records(rest);
  return content;
}

std::string encode_log_write(consensus::durable_write const& write) {
  return base::encode(log_record{.hard_state = write.hard_state,
                                 .truncate_from = write.truncate_from,
                                 .entries = write.entries,
                                 .snapshot = write.snapshot});
}

std::string encode_ledger_write(std::vector<billing::bill> const& bills) {
  return base::encode(bills);
}

tl::expected<consensus::recovered_state, journal_error>
recover_log(std::vector<std::string> const& records) {
  consensus::recovered_state state;
  for (auto const& bytes : records) {
    auto record = base::decode<log_record>(bytes);
    if (!record) {
      return tl::unexpected(journal_error::corrupt);
    }
    replay(*record, state);
  }
  if (!is_consistent(state)) {
    return tl::unexpected(journal_error::corrupt);
  }
  return state;
}

consensus::durable_write compacted_write(consensus::recovered_state const& state) {
  return {.id = 0,
          .hard_state = state.hard_state,
          .truncate_from = {},
          .entries = state.entries,
          .snapshot = state.snapshot};
}

tl::expected<std::vector<billing::bill>, journal_error>
recover_ledger(std::vector<std::string> const& records) {
  std::vector<billing::bill> bills;
  for (auto const& bytes : records) {
    auto batch = base::decode<std::vector<billing::bill>>(bytes);
    if (!batch) {
      return tl::unexpected(journal_error::corrupt);
    }
    std::ranges::move(*batch, std::back_inserter(bills));
  }
  return bills;
}

} // namespace catkinlanding::storage
