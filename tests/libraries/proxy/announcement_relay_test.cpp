#include <tests/support/control_group.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;
using testing::control_group;

control_group founded_group() {
  control_group made({"a", "b", "c"});
  made.found({"a", "b", "c"});
  made.run(8s);
  return made;
}

std::string follower_of(control_group const& group) {
  return group.leader() == "a" ? "b" : "a";
}

announce_endpoint announcement(int endpoint, std::uint64_t sequence = 1, bool is_leaving = false) {
  return {{.id = {"e" + std::to_string(endpoint)},
           .service = {"s"},
           .address = {.ip = "10.0.0.1", .port = static_cast<std::uint16_t>(endpoint + 1)},
           .is_leaving = is_leaving,
           .number = {.incarnation = 1, .sequence = sequence}}};
}

endpoint_record const* record_at_leader(control_group const& group, std::string const& endpoint) {
  return group.node(group.leader()).registry().find({endpoint});
}

// 3000 endpoints announce themselves to whichever control instance they pick. Guards against one
// leader that answers each of them on a connection of its own, which took all of its processor time
// and descriptors.
TEST(announcement_relays, accept_the_announcements_of_many_endpoints_for_the_leader) {
  constexpr int endpoints = 3000;
  auto group = founded_group();
  auto const follower = follower_of(group);
  group.hold(group.leader());
  for (int i = 0; i < endpoints; ++i) {
    auto const number = static_cast<call_number>(i) + 1;
    group.call(follower, number, announcement(i));
    ASSERT_TRUE(group.reply(number).has_value());
    EXPECT_EQ(group.reply(number)->kind, reply_kind::done);
    // The endpoint stays with the instance that accepted it.
    EXPECT_EQ(group.reply(number)->leader, base::instance_id{follower});
  }
  group.release(group.leader());
  group.run(100ms);
  EXPECT_EQ(group.node(group.leader()).registry().size(), static_cast<std::size_t>(endpoints));
}

// Guards against an acknowledgement by an instance that can't tell whether the entry instances know
// (DRAIN).
TEST(announcement_relays, leave_departures_to_the_leader) {
  auto group = founded_group();
  auto const follower = follower_of(group);
  group.call(follower, 1, announcement(1));
  group.call(follower, 2, announcement(1, 2, true));
  ASSERT_TRUE(group.reply(2).has_value());
  EXPECT_EQ(group.reply(2)->kind, reply_kind::not_leader);
  EXPECT_EQ(group.reply(2)->leader, base::instance_id{group.leader()});
  group.call(follower, 3, withdraw_endpoint{{"e1"}});
  EXPECT_EQ(group.reply(3)->kind, reply_kind::not_leader);
}

// The leader acknowledges a departure while an earlier announcement still waits at a follower.
TEST(announcement_relays, do_not_bring_a_leaving_endpoint_back) {
  auto group = founded_group();
  group.call(follower_of(group), 1, announcement(1, 1));
  group.call(group.leader(), 2, announcement(1, 2, true));
  group.run(500ms);
  auto const* record = record_at_leader(group, "e1");
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->state, endpoint_state::leaving);
}

TEST(announcement_relays, refuse_announcements_while_no_leader_is_known) {
  auto group = founded_group();
  auto const follower = follower_of(group);
  for (auto const* other : {"a", "b", "c"}) {
    if (std::string(other) != follower) {
      group.stop(other);
    }
  }
  group.run(2s);
  group.call(follower, 1, announcement(1));
  ASSERT_TRUE(group.reply(1).has_value());
  EXPECT_EQ(group.reply(1)->kind, reply_kind::not_leader);
}

// Guards against a follower that goes on sending to a leader that was lost. What was on its way
// then may be lost, as endpoints announce themselves again.
TEST(announcement_relays, go_to_the_next_leader_after_a_change) {
  auto group = founded_group();
  auto const follower = follower_of(group);
  group.call(follower, 1, announcement(1));
  group.stop(group.leader());
  group.run(20ms);
  group.call(follower, 2, announcement(2));
  group.run(5s);
  group.call(follower, 3, announcement(3));
  group.run(100ms);
  ASSERT_NE(group.leader(), "");
  EXPECT_NE(record_at_leader(group, "e3"), nullptr);
}

// Entry instances and forged messages must not make an endpoint leave.
TEST(announcement_relays, ignore_departures_that_are_passed_on) {
  auto group = founded_group();
  group.call(group.leader(), 1, announcement(1));
  group.send("entry", group.leader(),
             relayed_announcements{{announcement(1, 2, true).announcement}});
  auto const* record = record_at_leader(group, "e1");
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->state, endpoint_state::ready);
}

// Guards against announcements that were acknowledged and are lost, all of them, in a connection to
// the leader that delivers nothing: what is lost in a datagram is announced again.
TEST(announcement_relays, pass_announcements_on_in_datagrams) {
  constexpr int endpoints = 100;
  constexpr std::size_t max_datagram_size = 1200;
  announcement_relay relay({});
  for (int i = 0; i < endpoints; ++i) {
    auto named = announcement(i).announcement;
    named.id = {"i-7f3a91c2" + std::to_string(i)};
    named.service = {"field-application"};
    named.zone = {"availability-zone-1"};
    named.version = {"v12"};
    EXPECT_TRUE(relay.add(named));
  }
  std::size_t passed_on = 0;
  for (auto& one : relay.take()) {
    passed_on += one.announcements.size();
    envelope sent{.from = {"10.1.0.29:7400"}};
    sent.message = std::move(one);
    EXPECT_LE(encode(sent).size(), max_datagram_size);
  }
  EXPECT_EQ(passed_on, static_cast<std::size_t>(endpoints));
}

TEST(announcement_relays, bound_what_waits_and_what_one_message_holds) {
  announcement_relay relay({.max_waiting = 3, .max_per_message = 2});
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(relay.add(announcement(i).announcement));
  }
  EXPECT_FALSE(relay.add(announcement(3).announcement));
  EXPECT_TRUE(relay.add(announcement(2, 7).announcement));
  EXPECT_TRUE(relay.add(announcement(2, 5).announcement));
  auto const messages = relay.take();
  ASSERT_EQ(messages.size(), 2U);
  EXPECT_EQ(messages[0].announcements.size(), 2U);
  ASSERT_EQ(messages[1].announcements.size(), 1U);
  EXPECT_EQ(messages[1].announcements[0].number.sequence, 7U);
  EXPECT_TRUE(relay.take().empty());
}

} // namespace

} // namespace catkinlanding::proxy
