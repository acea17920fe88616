#include <tests/support/control_group.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;
using testing::control_group;

/// A group of five voters.
control_group founded_group() {
  control_group made({"a", "b", "c"});
  made.found({"a", "b", "c", "d", "e"});
  made.run(8s);
  return made;
}

announce_endpoint announcement(std::uint64_t sequence, bool is_leaving) {
  return {{.id = {"e"},
           .service = {"s"},
           .is_leaving = is_leaving,
           .number = {.incarnation = 1, .sequence = sequence}}};
}

// Guards against an acknowledged departure that only the leader knew which acknowledged it (DRAIN):
// the next leader called the endpoint ready again.
TEST(leaving_endpoints, are_remembered_when_the_leader_that_acknowledged_them_is_lost) {
  auto group = founded_group();
  group.call(group.leader(), 1, announcement(1, false));
  group.run(1s);
  group.stop(group.leader());
  while (group.leader().empty()) {
    group.run(20ms);
  }
  // No other instance has subscribed to the new leader yet.
  group.call(group.leader(), 2, announcement(2, true));
  group.run(20ms);
  ASSERT_TRUE(group.reply(2).has_value());
  EXPECT_EQ(group.reply(2)->kind, reply_kind::done);
  group.stop(group.leader());
  group.run(5s);
  ASSERT_NE(group.leader(), "");
  auto const* record = group.node(group.leader()).registry().find({"e"});
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->state, endpoint_state::leaving);
}

// Guards against a promise that some entry instances have not heard yet (DRAIN): the time for which
// the endpoint may still be used begins with the acknowledgement.
TEST(leaving_endpoints, are_acknowledged_when_all_entry_instances_know) {
  auto group = founded_group();
  auto const leader = group.leader();
  group.call(leader, 1, announcement(1, false));
  group.send("near", leader, subscription{.is_entry = true});
  group.send("far", leader, subscription{.is_entry = true});
  group.call(leader, 2, announcement(2, true));
  EXPECT_FALSE(group.reply(2).has_value());
  auto const confirm = [&](std::string const& entry) {
    auto const known = group.updates(entry).back().state;
    group.send(entry, leader, subscription{.known = known, .is_entry = true});
  };
  confirm("near");
  EXPECT_FALSE(group.reply(2).has_value());
  confirm("far");
  ASSERT_TRUE(group.reply(2).has_value());
  EXPECT_EQ(group.reply(2)->kind, reply_kind::done);
}

TEST(leaving_endpoints, are_confirmed_by_entry_instances_at_once) {
  auto group = founded_group();
  group.start_entry("entry");
  group.run(1s);
  group.call(group.leader(), 1, announcement(1, false));
  group.run(1s);
  group.call(group.leader(), 2, announcement(2, true));
  ASSERT_TRUE(group.reply(2).has_value());
  EXPECT_EQ(group.reply(2)->kind, reply_kind::done);
}

// A caller waits for one second.
TEST(leaving_endpoints, are_acknowledged_in_time_though_an_entry_instance_does_not_respond) {
  auto group = founded_group();
  auto const leader = group.leader();
  group.call(leader, 1, announcement(1, false));
  group.send("silent", leader, subscription{.is_entry = true});
  group.call(leader, 2, announcement(2, true));
  group.run(800ms);
  ASSERT_TRUE(group.reply(2).has_value());
  EXPECT_EQ(group.reply(2)->kind, reply_kind::done);
}

TEST(leaving_endpoints, do_not_wait_for_entry_instances_that_are_lost) {
  auto group = founded_group();
  auto const leader = group.leader();
  group.call(leader, 1, announcement(1, false));
  group.send("lost", leader, subscription{.is_entry = true});
  group.run(1500ms);
  group.call(leader, 2, announcement(2, true));
  ASSERT_TRUE(group.reply(2).has_value());
  EXPECT_EQ(group.reply(2)->kind, reply_kind::done);
}

} // namespace

} // namespace catkinlanding::proxy
