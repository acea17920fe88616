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

} // namespace

} // namespace catkinlanding::storage
