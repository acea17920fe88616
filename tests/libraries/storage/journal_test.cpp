#include <libraries/storage/journal.h>

#include <gtest/gtest.h>

namespace catkinlanding::storage {

namespace {

TEST(journal, reads_back_records) {
  auto const bytes = journal_header() + frame_record("one") + frame_record("two");
  auto const content = read_journal(bytes);
  ASSERT_TRUE(content);
  EXPECT_EQ(content->records, (std::vector<std::string>{"one", "two"}));
  EXPECT_EQ(content->valid_bytes, bytes.size());
}

TEST(journal, ignores_torn_tail) {
  auto const intact = journal_header() + frame_record("one");
  auto const torn = intact + frame_record("two").substr(0, 14);
  auto const content = read_journal(torn);
  ASSERT_TRUE(content);
  EXPECT_EQ(content->valid_bytes, intact.size());
}

TEST(journal, rejects_corruption_before_last_record) {
  auto bytes = journal_header() + frame_record("one") + frame_record("two");
  bytes[journal_header().size() + 13] ^= 1;
  auto const content = read_journal(bytes);
  ASSERT_FALSE(content);
  EXPECT_EQ(content.error(), journal_error::corrupt);
}

TEST(journal, rejects_corruption_of_any_byte_before_last_record) {
  auto const intact = journal_header() + frame_record("one") + frame_record("two");
  auto const end_of_first = (journal_header() + frame_record("one")).size();
  for (auto i = journal_header().size(); i < end_of_first; ++i) {
    auto corrupted = intact;
    corrupted[i] ^= 0x40;
    EXPECT_FALSE(read_journal(corrupted)) << "at byte " << i;
  }
}

TEST(journal, ignores_torn_tail_of_any_length) {
  auto const intact = journal_header() + frame_record("one");
  auto const last = frame_record("two");
  for (std::size_t size = 0; size < last.size(); ++size) {
    auto const content = read_journal(intact + last.substr(0, size));
    ASSERT_TRUE(content) << "after " << size << " bytes";
    EXPECT_EQ(content->valid_bytes, intact.size());
  }
  auto const unwritten = read_journal(intact + std::string(100, '\0'));
  ASSERT_TRUE(unwritten);
  EXPECT_EQ(unwritten->valid_bytes, intact.size());
}

TEST(journal, rejects_unknown_format) {
  EXPECT_EQ(read_journal("something else entirely, of some length").error(),
            journal_error::unknown_format);
}

/// A file whose records "one" and "two" were synced, with a mark behind each.
std::string marked_journal() {
  return journal_header() + log_sync_mark() + frame_record("one") + log_sync_mark() +
         frame_record("two") + log_sync_mark();
}

/// What a loss of power may leave of a record that was not synced.
std::vector<std::string> damaged_forms(std::string const& record) {
  std::vector<std::string> forms;
  for (std::size_t kept = 0; kept < record.size(); ++kept) {
    forms.push_back(record.substr(0, kept) + std::string(record.size() - kept, '\0'));
    forms.push_back(std::string(kept, '\0') + record.substr(kept));
    auto changed = record;
    changed[kept] ^= 0x40;
    forms.push_back(std::move(changed));
  }
  // Zeros that the record ends with are the same when they are lost.
  std::erase(forms, record);
  return forms;
}

// A record that was lost before a whole one made the process end at each start.
TEST(journal, leaves_out_records_after_unsynced_damage) {
  auto const synced = marked_journal();
  auto const whole = frame_record("four");
  for (auto const& damaged : damaged_forms(frame_record("three"))) {
    auto bytes = synced;
    bytes.append(damaged).append(whole);
    auto const content = read_journal(bytes);
    ASSERT_TRUE(content);
    EXPECT_EQ(content->valid_bytes, synced.size());
    EXPECT_EQ(content->left_out_bytes, damaged.size() + whole.size());
    EXPECT_EQ(content->left_out_records, 1U);
  }
}

TEST(journal, rejects_damage_that_a_sync_mark_follows) {
  for (auto const& damaged : damaged_forms(frame_record("two"))) {
    auto bytes = marked_journal();
    bytes.replace(bytes.find(frame_record("two")), damaged.size(), damaged);
    EXPECT_FALSE(read_journal(bytes));
    EXPECT_FALSE(read_journal(bytes + frame_record("three")));
  }
}

TEST(journal, leaves_out_records_after_a_lost_sync_mark) {
  auto const valid = marked_journal() + frame_record("three");
  auto const whole = frame_record("four") + frame_record("five");
  for (auto const& damaged : damaged_forms(log_sync_mark())) {
    auto bytes = valid;
    bytes.append(damaged).append(whole);
    auto const content = read_journal(bytes);
    ASSERT_TRUE(content);
    EXPECT_EQ(content->valid_bytes, valid.size());
    EXPECT_EQ(content->left_out_records, 2U);
  }
}

TEST(journal, rejects_damage_of_an_older_build_that_a_sync_mark_follows) {
  for (auto const& damaged : damaged_forms(frame_record("one"))) {
    EXPECT_FALSE(read_journal(journal_header() + damaged + log_sync_mark()));
    EXPECT_FALSE(read_journal(journal_header() + damaged + ledger_sync_mark()));
  }
}

TEST(journal, treats_header_that_was_not_synced_as_empty_file) {
  for (auto const& damaged : damaged_forms(journal_header())) {
    auto const content = read_journal(damaged);
    bool const is_torn = damaged.find('\0') != std::string::npos;
    ASSERT_EQ(content.has_value(), is_torn);
    EXPECT_EQ(is_torn ? content->left_out_bytes : damaged.size(), damaged.size());
    EXPECT_FALSE(read_journal(damaged + frame_record("one")));
  }
}

// An older build reads a mark as a write that changes nothing.
TEST(journal, sync_marks_change_nothing) {
  consensus::durable_write const write{
      .id = 1,
      .hard_state = consensus::hard_state{.term = 2, .voted_for = {}},
      .truncate_from = {},
      .entries = {{.term = 1, .index = 1}, {.term = 2, .index = 2}},
      .snapshot = {}};
  auto const log = read_journal(journal_header() + log_sync_mark() +
                                frame_record(encode_log_write(write)) + log_sync_mark());
  ASSERT_TRUE(log);
  auto const state = recover_log(log->records);
  ASSERT_TRUE(state);
  EXPECT_EQ(state->entries.size(), 2U);
  EXPECT_EQ(state->hard_state.term, 2U);
  std::vector<billing::bill> const bills(1);
  auto const ledger = read_journal(journal_header() + ledger_sync_mark() +
                                   frame_record(encode_ledger_write(bills)) + ledger_sync_mark());
  ASSERT_TRUE(ledger);
  EXPECT_EQ(recover_ledger(ledger->records), bills);
}

// An empty write of either kind may be stored before the sync of the writes before it.
TEST(journal, does_not_take_an_empty_write_for_a_sync_mark) {
  auto const synced = marked_journal();
  auto const lost = std::string(frame_record("three").size(), '\0');
  EXPECT_TRUE(read_journal(synced + lost + frame_record(encode_log_write({}))));
  EXPECT_TRUE(read_journal(synced + lost + frame_record(encode_ledger_write({}))));
}

} // namespace

} // namespace catkinlanding::storage
