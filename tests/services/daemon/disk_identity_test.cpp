#include <services/daemon/disk_identity.h>

#include <gtest/gtest.h>

#include <fstream>
#include <unistd.h>

namespace catkinlanding::daemon {

namespace {

class disk_identities : public ::testing::Test {
protected:
  void SetUp() override {
    auto pattern = (std::filesystem::temp_directory_path() / "catkinlanding.XXXXXX").string();
    ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
    m_folder = pattern;
  }

  void TearDown() override { std::filesystem::remove_all(m_folder); }

  [[nodiscard]] std::filesystem::path file() const { return m_folder / "disk_id"; }

  std::filesystem::path m_folder;
};

TEST_F(disk_identities, persist_over_restarts_and_renamed_folders) {
  EXPECT_EQ(disk_identity::load_or_create(file(), 7), 7U);
  EXPECT_EQ(disk_identity::load_or_create(file(), 8), 7U);
  auto const moved = m_folder / "moved";
  std::filesystem::rename(file(), moved);
  EXPECT_EQ(disk_identity::load_or_create(moved, 9), 7U);
}

TEST_F(disk_identities, reject_a_restored_copy) {
  ASSERT_EQ(disk_identity::load_or_create(file(), 7), 7U);
  std::filesystem::copy_file(file(), m_folder / "kept");
  std::filesystem::remove(file());
  std::filesystem::copy_file(m_folder / "kept", file());
  auto const loaded = disk_identity::load_or_create(file(), 8);
  ASSERT_FALSE(loaded.has_value());
  EXPECT_EQ(loaded.error(), disk_identity_error::copied);
}

TEST_F(disk_identities, persist_on_platforms_that_move_files) {
  ASSERT_EQ(disk_identity::load_or_create(file(), 7), 7U);
  std::filesystem::copy_file(file(), m_folder / "kept");
  std::filesystem::remove(file());
  std::filesystem::copy_file(m_folder / "kept", file());
  EXPECT_EQ(disk_identity::load_or_create(file(), 8, moved_file_policy::treat_as_original), 7U);
}

TEST_F(disk_identities, reject_a_corrupt_file) {
  std::ofstream(file()) << "{\"id\": 7";
  auto const loaded = disk_identity::load_or_create(file(), 8);
  ASSERT_FALSE(loaded.has_value());
  EXPECT_EQ(loaded.error(), disk_identity_error::corrupt);
}

TEST_F(disk_identities, accept_the_format_without_a_file_location) {
  std::ofstream(file()) << "7";
  EXPECT_EQ(disk_identity::load_or_create(file(), 8), 7U);
  EXPECT_EQ(disk_identity::load_or_create(file(), 9), 7U);
}

} // namespace

} // namespace catkinlanding::daemon
