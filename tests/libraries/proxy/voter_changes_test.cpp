#include <tests/support/control_group.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;
using testing::control_group;

replace_document document(std::uint64_t revision) {
  replace_document made;
  made.document.revision = revision;
  made.source = std::to_string(revision);
  return made;
}

control_group group_of(std::vector<std::string> const& instances,
                       std::optional<voters::tolerated_losses> tolerated = {}) {
  control_group group({"a", "b", "c"});
  if (tolerated) {
    group.tolerate(*tolerated);
  }
  group.found(instances);
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

/// Whether the group has a leader that holds the document, two of its instances having lost their
/// disks right after one of them acknowledged it, while two others were away with theirs.
bool keeps_document_without_two_disks(control_group& group, std::set<std::string> const& away) {
  constexpr call_number change = 1;
  constexpr call_number read = 2;
  group.call(group.leader(), change, document(1));
  if (!group.reply(change) || group.reply(change)->kind != reply_kind::done) {
    return false;
  }
  group.stop("a");
  group.stop("b");
  group.run(1s);
  for (auto const& instance : away) {
    group.restart(instance);
  }
  group.start("a", 11);
  group.start("b", 12);
  group.run(12s);
  if (group.leader().empty()) {
    return false;
  }
  group.call(group.leader(), read, read_document{});
  return group.reply(read)->kind == reply_kind::found && *group.reply(read)->source == "1";
}

// Guards against voters that lose their places while they are away until fewer disks hold a change
// than may be lost (LOST): five instances, of which two are away and two lose their disks.
TEST(voter_changes, keep_a_change_of_five_without_two_disks_while_two_were_away) {
  auto group = group_of({"a", "b", "c", "d", "e"});
  group.stop("d");
  group.stop("e");
  group.run(5s);
  EXPECT_EQ(group.voter_disks().size(), 5U);
  EXPECT_TRUE(keeps_document_without_two_disks(group, {"d", "e"}));
}

// Guards against the same when the two that are away were stopped as planned, and gave up their
// places themselves.
TEST(voter_changes, keep_a_change_of_five_without_two_disks_while_two_were_stopped) {
  auto group = group_of({"a", "b", "c", "d", "e"});
  group.stop_gracefully("d");
  group.stop_gracefully("e");
  group.run(1s);
  EXPECT_EQ(group.voter_disks().size(), 5U);
  EXPECT_TRUE(keeps_document_without_two_disks(group, {"d", "e"}));
}

// Guards against the same with six instances: five voters tolerate as many lost disks as six do,
// four don't.
TEST(voter_changes, keep_a_change_of_six_without_two_disks_while_two_were_away) {
  auto group = group_of({"a", "b", "c", "d", "e", "f"});
  group.stop("e");
  group.stop("f");
  group.run(8s);
  EXPECT_EQ(group.voter_disks().size(), 5U);
  EXPECT_TRUE(keeps_document_without_two_disks(group, {"e", "f"}));
}

// Guards against a group of seven that shrinks when several instances are away: it tolerates three
// lost disks for as long as they may return.
TEST(voter_changes, keep_seven_voters_while_three_are_away) {
  auto group = group_of({"a", "b", "c", "d", "e", "f", "g"});
  ASSERT_EQ(group.voter_disks().size(), 7U);
  for (std::string const instance : {"e", "f", "g"}) {
    group.stop(instance);
    group.run(3s);
  }
  EXPECT_EQ(group.voter_disks().size(), 7U);
  EXPECT_NE(group.leader(), "");
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

// Guards against places of instances that are gone for good, which stay beside those of successors
// that joined early: a deployment that has to tolerate two lost instances must tolerate the next
// two.
TEST(voter_changes, drop_two_lost_voters_whose_replacements_joined_early) {
  auto group = group_of({"a", "b", "c", "d", "e"}, voters::tolerated_losses{.instances = 2});
  group.stop("d");
  group.stop("e");
  group.run(500ms);
  group.start("f", 6);
  group.start("g", 7);
  group.run(6s);
  EXPECT_EQ(group.voter_disks(), (std::set<std::uint64_t>{1, 2, 3, 6, 7}));
  group.stop("a");
  group.stop("b");
  group.run(3s);
  EXPECT_NE(group.leader(), "");
}

// Guards against an instance that lost its place and asks for it only at seeds that no longer
// exist, as its settings were never reloaded.
TEST(voter_changes, give_a_voter_its_place_back_though_its_seeds_are_gone) {
  auto group = group_of({"a", "b", "c", "d"}, voters::tolerated_losses{.instances = 1});
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

// Guards against instances that lost their disks and never join again, as all of their seeds are
// outside the group: each other, and an instance that got no place as there were enough voters.
TEST(voter_changes, give_places_back_to_lost_disks_whose_seeds_are_outside_the_group) {
  auto group = group_of({"a", "b", "c", "d", "e", "f", "g", "h"}, voters::tolerated_losses{2});
  group.stop("c");
  group.run(5s);
  group.use_seeds({"a", "b", "i"});
  group.start("i", 9);
  group.run(5s);
  ASSERT_FALSE(group.voter_disks().contains(9));
  group.stop("a");
  group.stop("b");
  group.run(5s);
  group.start("a", 10);
  group.start("b", 11);
  group.run(6s);
  EXPECT_EQ(group.voter_disks().size(), 7U);
  EXPECT_TRUE(group.voter_disks().contains(10));
}

// Guards against the same when no seed knows the group any more: the leader still sends to the lost
// disks, as they are voters.
TEST(voter_changes, give_places_back_to_lost_disks_that_only_the_leader_reaches) {
  auto group = group_of({"a", "b", "c", "d", "e", "f", "g", "h"});
  group.stop("c");
  group.run(5s);
  group.use_seeds({"a", "b", "i"});
  group.start("i", 9);
  group.run(5s);
  ASSERT_FALSE(group.voter_disks().contains(9));
  for (std::string const instance : {"a", "b", "i"}) {
    group.stop(instance);
  }
  group.run(5s);
  group.start("a", 10);
  group.start("b", 11);
  group.restart("i");
  group.run(6s);
  EXPECT_EQ(group.voter_disks().size(), 7U);
  EXPECT_TRUE(group.voter_disks().contains(10));
}

/// What the leader replies to a change of the document.
reply_kind reply_to_change(control_group& group, call_number number) {
  group.call(group.leader(), number, document(number));
  group.run(200ms);
  return group.reply(number) ? group.reply(number)->kind : reply_kind::unavailable;
}

/// A group whose instances start for the first time, with disks numbered from one on.
control_group starting_group_of(std::vector<std::string> const& instances,
                                std::optional<voters::tolerated_losses> tolerated = {}) {
  control_group group({"a", "b", "c"});
  if (tolerated) {
    group.tolerate(*tolerated);
  }
  group.start_together(instances);
  return group;
}

// Guards against a first change that three of five instances hold, as the other two have not joined
// yet, and that is gone with two disks (LOST).
TEST(voter_changes, take_no_first_change_before_enough_voters_have_joined) {
  auto group = starting_group_of({"a", "b", "c"}, voters::tolerated_losses{.instances = 2});
  group.run(3s);
  EXPECT_EQ(reply_to_change(group, 1), reply_kind::unavailable);
  group.start("d", 4, true);
  group.start("e", 5, true);
  group.run(3s);
  EXPECT_EQ(reply_to_change(group, 2), reply_kind::done);
}

// Guards against the same where fewer than three instances are seeds, so that one disk, or two,
// hold the change.
TEST(voter_changes, take_no_first_change_of_one_or_two_seeds) {
  using names = std::vector<std::string>;
  for (auto const& seeds : {names{"a"}, names{"a", "b"}}) {
    control_group group(seeds);
    group.tolerate({.instances = 2});
    group.start_together({"a", "b"});
    group.run(3s);
    ASSERT_NE(group.leader(), "");
    EXPECT_EQ(reply_to_change(group, 1), reply_kind::unavailable);
    group.start("c", 3, true);
    group.start("d", 4, true);
    group.start("e", 5, true);
    group.run(3s);
    EXPECT_EQ(reply_to_change(group, 2), reply_kind::done);
  }
}

/// Whether five instances that start together take the first change only once all have joined.
void expect_first_change_of_five(std::optional<voters::tolerated_losses> tolerated) {
  auto group = starting_group_of({"a", "b", "c", "d", "e"}, tolerated);
  group.run(200ms);
  ASSERT_NE(group.leader(), "");
  ASSERT_EQ(group.voter_disks().size(), 3U);
  EXPECT_EQ(reply_to_change(group, 1), reply_kind::unavailable);
  group.run(1s);
  EXPECT_EQ(reply_to_change(group, 2), reply_kind::done);
  EXPECT_EQ(group.voter_disks().size(), 5U);
}

// Guards against the same where nothing is stated: instances that start together are still joining.
TEST(voter_changes, take_no_first_change_while_instances_join) {
  expect_first_change_of_five({});
}

// Guards against the same where a zone may be lost that two of the first three voters are in, and
// one lost instance that three voters tolerate.
TEST(voter_changes, take_no_first_change_while_instances_of_zones_join) {
  expect_first_change_of_five(
      voters::tolerated_losses{.instances = 1, .availability_zones = 1, .zone_count = 3});
}

// Guards against a first change right after the election, before the others have asked to join.
TEST(voter_changes, take_no_first_change_before_instances_have_asked_to_join) {
  auto group = starting_group_of({"a", "b", "c"});
  group.run(200ms);
  ASSERT_NE(group.leader(), "");
  EXPECT_EQ(reply_to_change(group, 1), reply_kind::unavailable);
  group.start("d", 4, true);
  group.start("e", 5, true);
  group.run(1500ms);
  EXPECT_EQ(reply_to_change(group, 2), reply_kind::done);
  EXPECT_EQ(group.voter_disks().size(), 5U);
}

// Guards against a first change while instances that asked to join have no place yet, as one of
// them is slow to take the log.
TEST(voter_changes, take_no_first_change_before_a_slow_instance_has_joined) {
  auto group = starting_group_of({"a", "b", "c", "d", "e"});
  group.hold("d");
  group.run(1500ms);
  ASSERT_NE(group.leader(), "");
  ASSERT_LT(group.voter_disks().size(), 5U);
  EXPECT_EQ(reply_to_change(group, 1), reply_kind::unavailable);
  group.release("d");
  group.run(1s);
  EXPECT_EQ(reply_to_change(group, 2), reply_kind::done);
  EXPECT_EQ(group.voter_disks().size(), 5U);
}

// Guards against settings that change while an instance runs, and a leader that goes by what was
// stated at its start.
TEST(voter_changes, follow_what_is_stated_now) {
  auto group = group_of({"a", "b", "c", "d", "e"}, voters::tolerated_losses{.instances = 1});
  for (std::string const instance : {"a", "b", "c"}) {
    group.node(instance).use_tolerated_losses(voters::tolerated_losses{.instances = 2});
  }
  group.stop("d");
  group.stop("e");
  group.run(8s);
  EXPECT_EQ(group.voter_disks().size(), 5U);
}

// Guards against a limit of the voters below what the stated losses need.
TEST(voter_changes, let_as_many_vote_as_the_stated_losses_need) {
  auto group = group_of({"a", "b", "c", "d", "e", "f", "g", "h", "i"},
                        voters::tolerated_losses{.instances = 4});
  group.run(12s);
  EXPECT_EQ(group.voter_disks().size(), 9U);
}

// Guards against a deployment that never takes a change, as it states more losses than so few
// instances can tolerate.
TEST(voter_changes, take_the_first_change_after_a_while_if_there_are_too_few_instances) {
  auto group = group_of({"a", "b", "c"}, voters::tolerated_losses{.instances = 2});
  EXPECT_EQ(reply_to_change(group, 1), reply_kind::unavailable);
  group.run(15s);
  EXPECT_EQ(reply_to_change(group, 2), reply_kind::done);
}

/// What the leader replies within a second to a departure.
reply_kind reply_to_departure(control_group& group, call_number number) {
  group.call(group.leader(), number,
             withdraw_endpoint{.endpoint = {"e" + std::to_string(number)}, .incarnation = 1});
  group.run(1s);
  return group.reply(number)->kind;
}

// Guards against a deployment without a document in which each new leader refuses departures, as it
// has fewer instances than what it states needs: the departures before were its first change.
TEST(voter_changes, wait_for_no_voters_after_the_first_departure) {
  auto group = group_of({"a", "b", "c"}, voters::tolerated_losses{.instances = 2});
  group.run(15s);
  ASSERT_EQ(reply_to_departure(group, 1), reply_kind::done);
  group.stop(group.leader());
  group.run(3s);
  ASSERT_NE(group.leader(), "");
  EXPECT_EQ(reply_to_departure(group, 2), reply_kind::done);
}

// Guards against the same for instances whose log no longer has the changes, but a snapshot.
TEST(voter_changes, wait_for_no_voters_after_a_snapshot) {
  constexpr std::size_t bytes_until_snapshot = 600 * 1024;
  auto group = group_of({"a", "b", "c"}, voters::tolerated_losses{.instances = 2});
  group.run(15s);
  auto large = document(1);
  large.source = std::string(bytes_until_snapshot, 'x');
  group.call(group.leader(), 1, large);
  group.run(1s);
  ASSERT_EQ(group.reply(1)->kind, reply_kind::done);
  for (std::string const instance : {"a", "b", "c"}) {
    group.stop(instance);
  }
  for (std::string const instance : {"a", "b", "c"}) {
    group.restart(instance);
  }
  group.run(3s);
  ASSERT_NE(group.leader(), "");
  EXPECT_EQ(reply_to_departure(group, 2), reply_kind::done);
}

} // namespace

} // namespace catkinlanding::proxy
