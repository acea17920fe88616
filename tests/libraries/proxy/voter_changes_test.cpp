#include <tests/support/control_group.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;
using testing::control_group;

control_group group_of(std::vector<std::string> const& instances) {
  control_group group({"a", "b", "c"});
  std::uint64_t disk = 0;
  for (auto const& instance : instances) {
    ++disk;
    group.start(instance, disk, disk == 1);
  }
  group.run(6s);
  return group;
}

// Guards against a lost voter that keeps its place because its replacement joined before the voter
// counted as silent (CONFIG, RECOVER): the next loss then took the majority for good.
TEST(voter_changes, remove_a_lost_voter_whose_replacement_joined_early) {
  auto group = group_of({"a", "b", "c"});
  group.stop("a");
  group.run(1s);
  group.start("d", 4);
  group.run(4s);
  EXPECT_EQ(group.voter_disks(), (std::set<std::uint64_t>{2, 3, 4}));
  group.stop("d");
  group.run(2s);
  EXPECT_NE(group.leader(), "");
}

// Guards against the same when the replacement starts before the voter stops as planned: the voter
// gives up its place itself.
TEST(voter_changes, remove_a_stopping_voter_whose_replacement_has_joined) {
  auto group = group_of({"a", "b", "c"});
  group.start("d", 4);
  group.run(3500ms);
  group.stop_gracefully("a");
  group.run(300ms);
  group.stop("b");
  group.run(2s);
  ASSERT_NE(group.leader(), "");
  EXPECT_EQ(group.voter_disks(), (std::set<std::uint64_t>{2, 3, 4}));
}

// Guards against a group that shrinks until it cannot lose another voter.
TEST(voter_changes, keep_three_voters_while_one_is_away) {
  auto group = group_of({"a", "b", "c"});
  group.isolate("b");
  group.run(10s);
  EXPECT_EQ(group.voter_disks(), (std::set<std::uint64_t>{1, 2, 3}));
  group.stop_gracefully("c");
  group.reconnect("b");
  group.run(3s);
  EXPECT_EQ(group.voter_disks(), (std::set<std::uint64_t>{1, 2, 3}));
}

TEST(voter_changes, give_a_voter_its_place_back_after_it_was_away) {
  auto group = group_of({"a", "b", "c", "d"});
  ASSERT_EQ(group.voter_disks().size(), 4U);
  group.isolate("d");
  group.run(4s);
  EXPECT_EQ(group.voter_disks(), (std::set<std::uint64_t>{1, 2, 3}));
  group.reconnect("d");
  group.run(3s);
  EXPECT_EQ(group.voter_disks(), (std::set<std::uint64_t>{1, 2, 3, 4}));
}

// Guards against an instance that lost its place and asks for it only at seeds that no longer
// exist, as its settings were never reloaded.
TEST(voter_changes, give_a_voter_its_place_back_though_its_seeds_are_gone) {
  auto group = group_of({"a", "b", "c", "d"});
  std::uint64_t disk = 4;
  for (std::string const seed : {"a", "b", "c"}) {
    group.stop(seed);
    group.use_seeds({"a", "b", "c", "d"});
    group.run(1s);
    group.start(seed + "2", ++disk);
    group.run(6s);
  }
  ASSERT_EQ(group.voter_disks(), (std::set<std::uint64_t>{4, 5, 6, 7}));
  group.isolate("d");
  group.run(4s);
  ASSERT_EQ(group.voter_disks(), (std::set<std::uint64_t>{5, 6, 7}));
  group.reconnect("d");
  group.run(3s);
  EXPECT_EQ(group.voter_disks(), (std::set<std::uint64_t>{4, 5, 6, 7}));
}

} // namespace

} // namespace catkinlanding::proxy
