#include <tests/support/control_group.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;
using testing::control_group;

/// Within this time after all instances are back, calls are answered again.
constexpr base::duration recovery_time = 12s;

replace_document document(std::uint64_t revision, std::string source) {
  replace_document made;
  made.document.revision = revision;
  made.source = std::move(source);
  return made;
}

control_group first_start_of(std::vector<std::string> const& seeds,
                             std::vector<std::string> const& started,
                             std::optional<voters::tolerated_losses> tolerated = {}) {
  control_group group(seeds);
  if (tolerated) {
    group.tolerate(*tolerated);
  }
  for (auto const& id : started) {
    group.start(id, static_cast<std::uint64_t>(id.front()), true);
  }
  return group;
}

/// Sends the document to the leader as soon as there is one. Returns the instance that acknowledged
/// it; nothing if none did in time.
std::optional<std::string> put(control_group& group, call_number number, base::duration time) {
  for (auto const end = group.now() + time; group.now() < end; group.run(20ms)) {
    auto const leader = group.leader();
    if (leader.empty()) {
      continue;
    }
    group.call(leader, number, document(7, "seven"));
    group.run(20ms);
    auto const reply = group.reply(number);
    if (reply && reply->kind == reply_kind::done) {
      return leader;
    }
  }
  return std::nullopt;
}

std::string read(control_group& group, call_number number) {
  if (group.leader().empty()) {
    return "no leader";
  }
  group.call(group.leader(), number, read_document{});
  return *group.reply(number)->source;
}

// Guards against an acknowledgement by a founder whose disk is the only one with the change.
TEST(founding, acknowledges_nothing_before_a_majority_of_the_seeds_has_started) {
  auto group = first_start_of({"a", "b", "c"}, {"a"});
  group.run(3s);
  group.call("a", 1, document(7, "seven"));
  ASSERT_TRUE(group.reply(1).has_value());
  EXPECT_NE(group.reply(1)->kind, reply_kind::done);
}

// Guards against a first configuration that is gone with the disk of the instance that acknowledged
// it, and against a group that never works again (review/1).
TEST(founding, keeps_the_first_document_when_the_leader_loses_its_disk_at_once) {
  auto group = first_start_of({"a", "b", "c"}, {"a"});
  group.run(200ms);
  auto const early = put(group, 1, 20ms);
  group.start("b", 2, true);
  group.start("c", 3, true);
  auto const leader = early ? early : put(group, 2, recovery_time);
  ASSERT_TRUE(leader.has_value());
  group.stop(*leader);
  group.run(1s);
  group.start(*leader, 9);
  group.run(recovery_time);
  EXPECT_EQ(read(group, 3), "seven");
}

// Guards against a document that a disk still has and that never comes back, as the group counts on
// the lost disk of the other of its two voters (review/2).
TEST(founding, keeps_a_document_of_two_disks_when_one_is_lost_before_the_third_seed_starts) {
  auto group = first_start_of({"a", "b", "c"}, {"a", "b"});
  auto const leader = put(group, 1, recovery_time);
  ASSERT_TRUE(leader.has_value());
  group.stop(*leader);
  group.run(1s);
  group.start(*leader, 9);
  group.run(1s);
  group.start("c", 8);
  group.run(recovery_time);
  EXPECT_EQ(read(group, 2), "seven");
}

// Guards against a leader without a quorum that leads for ever: the lost disk is a follower's.
TEST(founding, keeps_a_document_of_two_disks_when_the_follower_loses_its_disk) {
  auto group = first_start_of({"a", "b", "c"}, {"a", "b"});
  auto const leader = put(group, 1, recovery_time);
  ASSERT_TRUE(leader.has_value());
  std::string const follower = *leader == "a" ? "b" : "a";
  group.stop(follower);
  group.run(1s);
  group.start(follower, 9);
  group.run(1s);
  group.start("c", 8);
  group.run(recovery_time);
  EXPECT_EQ(read(group, 2), "seven");
}

// Guards against a core that waits for ever for a founder that lost its disk before anybody else
// had its first entry.
TEST(founding, goes_on_without_a_first_seed_that_lost_its_disk) {
  auto group = first_start_of({"a", "b", "c"}, {"a"});
  group.run(1s);
  group.start("a", 9);
  group.start("b", 2, true);
  group.start("c", 3, true);
  EXPECT_TRUE(put(group, 1, recovery_time).has_value());
}

// Guards against a core that waits for ever for an instance that was killed before its first write
// while another one lost its disk.
TEST(founding, needs_one_seed_only_that_has_kept_its_first_disk) {
  auto group = first_start_of({"a", "b", "c"}, {"c"});
  group.start("a", 9);
  group.start("b", 8);
  EXPECT_TRUE(put(group, 1, recovery_time).has_value());
}

// Guards against a second group, founded by seeds that all lost their disks, while the members that
// kept theirs are still away.
TEST(founding, does_not_happen_again_when_all_seeds_lose_their_disks) {
  std::vector<std::string> const seeds{"a", "b", "c"};
  std::vector<std::string> const others{"d", "e", "f", "g"};
  auto group = first_start_of(seeds, {"a", "b", "c", "d", "e", "f", "g"});
  group.run(10s);
  ASSERT_EQ(group.voter_disks().size(), 7U);
  ASSERT_TRUE(put(group, 1, recovery_time).has_value());
  for (auto const& id : others) {
    group.stop(id);
  }
  std::uint64_t disk = 10;
  for (auto const& id : seeds) {
    group.start(id, ++disk);
  }
  group.run(10s);
  EXPECT_EQ(group.leader(), "");
  for (auto const& id : others) {
    group.restart(id);
  }
  group.run(recovery_time);
  EXPECT_EQ(read(group, 2), "seven");
}

/// Whether a group of seven instances keeps its document when one seed was cut off all the time,
/// the two others lose their disks, and the members beyond the seeds are away for a second.
bool keeps_document_without_two_seeds(control_group& group) {
  std::vector<std::string> const others{"d", "e", "f", "g"};
  if (!put(group, 1, recovery_time)) {
    return false;
  }
  for (auto const& id : others) {
    group.stop(id);
  }
  group.start("a", 9);
  group.start("b", 8);
  group.reconnect("c");
  group.run(1s);
  for (auto const& id : others) {
    group.restart(id);
  }
  group.run(recovery_time);
  return read(group, 2) == "seven";
}

// Guards against a second group, founded by a seed that was cut off all the time and two that lost
// their disks, in the second before the members that kept theirs are back. The seed has lost its
// place, as the group tolerates what is stated without it.
TEST(founding, waits_for_members_beyond_the_seeds_before_lost_disks_take_part) {
  auto group = first_start_of({"a", "b", "c"}, {"a", "b", "c", "d", "e", "f", "g"},
                              voters::tolerated_losses{.instances = 2});
  group.isolate("c");
  group.run(15s);
  ASSERT_EQ(group.voter_disks().size(), 6U);
  EXPECT_TRUE(keeps_document_without_two_seeds(group));
}

// Guards against the same where nothing is stated, so that the seed keeps its place.
TEST(founding, waits_for_members_beyond_the_seeds_though_a_seed_keeps_its_place) {
  auto group = first_start_of({"a", "b", "c"}, {"a", "b", "c", "d", "e", "f", "g"});
  group.isolate("c");
  group.run(15s);
  ASSERT_EQ(group.voter_disks().size(), 7U);
  EXPECT_TRUE(keeps_document_without_two_seeds(group));
}

// Guards against a group of two that never works again after the loss of one disk, and against an
// acknowledgement by one of them alone.
TEST(founding, of_two_instances_bears_the_loss_of_one_disk) {
  for (std::string const lost : {"a", "b"}) {
    auto group = first_start_of({"a", "b"}, {"a", "b"});
    ASSERT_TRUE(put(group, 1, recovery_time).has_value());
    group.stop(lost);
    group.run(1s);
    group.start(lost, 9);
    group.run(recovery_time);
    EXPECT_EQ(read(group, 2), "seven") << lost;
  }
}

TEST(founding, of_one_instance_needs_no_other) {
  auto group = first_start_of({"a"}, {"a"});
  EXPECT_EQ(put(group, 1, 1s), "a");
}

/// Replaces the seeds by instances of the first start that never joined the group, while its
/// members are away. Returns what the group reads after they are back.
std::string exchange_seeds(control_group& group, std::set<std::string> const& members,
                           std::vector<std::string> const& others) {
  for (auto const& id : members) {
    group.stop(id);
  }
  group.use_seeds(others);
  for (auto const& id : others) {
    group.reconnect(id);
    group.restart(id);
  }
  group.run(10s);
  EXPECT_EQ(group.leader(), "");
  for (auto const& id : members) {
    group.restart(id);
  }
  group.run(recovery_time);
  return read(group, 2);
}

// Guards against a second group, founded by instances of the first start that never joined, when
// the seeds are exchanged for them.
TEST(founding, does_not_happen_again_by_instances_that_never_joined) {
  auto group = first_start_of({"a", "b", "c"}, {"a", "b", "c", "d", "e", "f"});
  for (auto const* id : {"d", "e", "f"}) {
    group.isolate(id);
  }
  ASSERT_TRUE(put(group, 1, recovery_time).has_value());
  EXPECT_EQ(exchange_seeds(group, {"a", "b", "c"}, {"d", "e", "f"}), "seven");
}

// The same with a seed that never joined, and lost disks beside it.
TEST(founding, does_not_happen_again_by_a_seed_that_never_joined) {
  auto group = first_start_of({"a", "b", "c"}, {"a", "b", "c"});
  group.isolate("c");
  ASSERT_TRUE(put(group, 1, recovery_time).has_value());
  group.start("d", 9);
  group.start("e", 8);
  group.stop("d");
  group.stop("e");
  EXPECT_EQ(exchange_seeds(group, {"a", "b"}, {"c", "d", "e"}), "seven");
}

} // namespace

} // namespace catkinlanding::proxy
