#include <libraries/storage/journal.h>
#include <services/daemon/data_folder.h>

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <filesystem>
#include <semaphore>
#include <sstream>
#include <unistd.h>

namespace catkinlanding::daemon {

namespace {

constexpr std::uint64_t disk_id = 7;

/// A data folder that is opened repeatedly, as by successive processes.
class journal_recovery : public ::testing::Test {
protected:
  void SetUp() override {
    auto pattern = (std::filesystem::temp_directory_path() / "catkinlanding.XXXXXX").string();
    ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
    m_path = pattern;
    m_previous_logger = spdlog::default_logger();
    spdlog::set_default_logger(std::make_shared<spdlog::logger>(
        "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(m_log_lines)));
  }

  void TearDown() override {
    spdlog::set_default_logger(m_previous_logger);
    std::filesystem::remove_all(m_path);
  }

  [[nodiscard]] std::filesystem::path log_path() const { return m_path / "log"; }

  auto open(data_folder::callbacks callbacks = {}) {
    return data_folder::open(m_path, disk_id, std::move(callbacks));
  }

  /// Runs a process that stores these terms one after the other, each with its own sync.
  void store_terms(std::vector<std::uint64_t> const& terms) {
    std::binary_semaphore written(0);
    auto folder = open({.log_written = [&](consensus::write_id) { written.release(); },
                        .ledger_written = {},
                        .failed = {}});
    ASSERT_TRUE(folder.has_value());
    for (auto const term : terms) {
      (*folder)->write(term_write(term));
      written.acquire();
    }
  }

  static consensus::durable_write term_write(std::uint64_t term) {
    return {.id = term,
            .hard_state = consensus::hard_state{.term = term, .voted_for = {}},
            .truncate_from = {},
            .entries = {},
            .snapshot = {}};
  }

  static std::string term_record(std::uint64_t term) {
    return storage::frame_record(storage::encode_log_write(term_write(term)));
  }

  /// Appends to the log what a loss of power left of writes that were not synced.
  void append_to_log(std::string_view bytes) {
    auto file = journal_file::open(log_path());
    ASSERT_TRUE(file.has_value());
    ASSERT_TRUE(file->append(bytes).has_value());
  }

  void replace_in_log(std::string_view part, std::string const& replacement) {
    auto file = journal_file::open(log_path());
    ASSERT_TRUE(file.has_value());
    auto bytes = file->read_all().value();
    auto const position = bytes.find(part);
    ASSERT_NE(position, std::string::npos);
    bytes.replace(position, part.size(), replacement);
    ASSERT_TRUE(file->truncate(0).has_value());
    ASSERT_TRUE(file->append(bytes).has_value());
  }

  [[nodiscard]] std::uintmax_t log_size() const { return std::filesystem::file_size(log_path()); }
  [[nodiscard]] std::string log_lines() const { return m_log_lines.str(); }

private:
  std::filesystem::path m_path;
  std::ostringstream m_log_lines;
  std::shared_ptr<spdlog::logger> m_previous_logger;
};

// After a loss of power, a write that was not synced was missing before a whole one, and the
// process ended with code 4 at each start.
TEST_F(journal_recovery, starts_after_unsynced_write_was_lost_before_a_whole_one) {
  store_terms({1, 2});
  auto const synced_size = log_size();
  append_to_log(std::string(term_record(3).size(), '\0') + term_record(4));
  auto const folder = open();
  ASSERT_TRUE(folder.has_value()) << name_of(folder.error().kind);
  EXPECT_EQ((*folder)->take_recovered().log.hard_state.term, 2U);
  EXPECT_NE(log_lines().find("journal cut path=" + log_path().string() +
                             " offset=" + std::to_string(synced_size) + " bytes=" +
                             std::to_string(2 * term_record(3).size()) + " whole_records=1"),
            std::string::npos)
      << log_lines();
}

// The same with a write that was torn within its length.
TEST_F(journal_recovery, starts_after_unsynced_write_was_torn_before_a_whole_one) {
  store_terms({1, 2});
  auto torn = term_record(3);
  torn.replace(2, torn.size() - 2, torn.size() - 2, '\0');
  append_to_log(torn + term_record(4));
  auto const folder = open();
  ASSERT_TRUE(folder.has_value()) << name_of(folder.error().kind);
  EXPECT_EQ((*folder)->take_recovered().log.hard_state.term, 2U);
}

// The same in a file that was written by an older build until this one opened it.
TEST_F(journal_recovery, starts_after_lost_write_in_a_file_of_an_older_build) {
  append_to_log(storage::journal_header() + term_record(1));
  store_terms({});
  append_to_log(std::string(term_record(2).size(), '\0') + term_record(3));
  auto const folder = open();
  ASSERT_TRUE(folder.has_value()) << name_of(folder.error().kind);
  EXPECT_EQ((*folder)->take_recovered().log.hard_state.term, 1U);
}

// A loss of power before the first sync of a new file left zeros in place of its header, which
// was refused as an unknown format at each start.
TEST_F(journal_recovery, starts_after_header_was_lost) {
  append_to_log(std::string(storage::journal_header().size(), '\0'));
  auto const folder = open();
  ASSERT_TRUE(folder.has_value()) << name_of(folder.error().kind);
}

TEST_F(journal_recovery, refuses_damage_to_any_synced_record_and_leaves_the_file) {
  for (std::uint64_t const damaged : {1, 2, 3}) {
    store_terms({1, 2, 3});
    auto zeros = std::string(term_record(damaged).size(), '\0');
    replace_in_log(term_record(damaged), zeros);
    auto const size = log_size();
    auto const folder = open();
    ASSERT_FALSE(folder.has_value()) << "term " << damaged;
    EXPECT_EQ(folder.error().kind, data_folder_error::kind::corrupt);
    EXPECT_EQ(log_size(), size);
    std::filesystem::remove(log_path());
  }
}

TEST_F(journal_recovery, goes_on_after_the_cut) {
  store_terms({1});
  append_to_log(std::string(term_record(2).size(), '\0') + term_record(3));
  store_terms({4, 5});
  auto const folder = open();
  ASSERT_TRUE(folder.has_value()) << name_of(folder.error().kind);
  EXPECT_EQ((*folder)->take_recovered().log.hard_state.term, 5U);
}

} // namespace

} // namespace catkinlanding::daemon
