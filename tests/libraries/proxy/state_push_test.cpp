#include <tests/support/control_group.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <tuple>

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

std::string entry(int number) {
  return "entry-" + std::to_string(number);
}

announce_endpoint announcement(int endpoint) {
  auto const name = std::to_string(endpoint);
  return {{.id = {"e" + name},
           .service = {"s"},
           .address = {.ip = "10.0.0.1", .port = static_cast<std::uint16_t>(endpoint + 1)},
           .number = {.incarnation = 1, .sequence = 1}}};
}

// The endpoints of a service are doubled: 240 announce themselves within 1.2 s while 300 entry
// instances are subscribed. Guards against one update for each pair of them, which took the leader
// more time than its lease lasts.
TEST(state_pushes, are_bounded_while_many_endpoints_announce_themselves) {
  constexpr int entries = 300;
  constexpr int endpoints = 240;
  auto group = founded_group();
  auto const leader = group.leader();
  for (int i = 0; i < entries; ++i) {
    group.send(entry(i), leader, subscription{.is_entry = true});
  }
  auto const before = group.updates(entry(0)).size();
  for (int i = 0; i < endpoints; ++i) {
    group.call(leader, static_cast<call_number>(i) + 1, announcement(i));
    if (i % 4 == 3) {
      group.run(20ms);
    }
  }
  group.run(400ms);
  auto const pushed = group.updates(entry(0)).size() - before;
  // One push each 195 ms of the 1.6 s, and one at once.
  EXPECT_LE(pushed, 10U);
  EXPECT_GE(pushed, 2U);
  EXPECT_EQ(group.node(leader).registry().size(), static_cast<std::size_t>(endpoints));
  // The last push holds what the one before lacked.
  EXPECT_EQ(group.updates(entry(0)).back().state.registry_revision,
            group.node(leader).registry().revision());
}

// More than half of 300 entry instances start anew at once, know no leader, and ask each 100 ms.
// Guards against a leader that answers each time with its whole state, and has no time left to keep
// its lease.
TEST(state_pushes, give_the_whole_state_once_to_an_instance_that_asks_often) {
  constexpr int requests = 5;
  auto group = founded_group();
  auto const leader = group.leader();
  group.call(leader, 1, replace_document{.document = {.revision = 7}, .source = "seven"});
  group.call(leader, 2, announcement(1));
  auto const ask = [&](std::uint64_t report) {
    group.send("entry", leader, subscription{.is_entry = true, .report = report});
    auto const& last = group.updates("entry").back();
    return last.document.has_value() && !last.endpoints.empty();
  };
  EXPECT_TRUE(ask(1));
  for (std::uint64_t report = 2; report < requests; ++report) {
    group.run(100ms);
    EXPECT_FALSE(ask(report)) << report;
  }
  // What was sent may be lost.
  group.run(500ms);
  EXPECT_TRUE(ask(requests));
  // A new start has lost it.
  EXPECT_TRUE(ask(1));
}

// Endpoints announce themselves all the while, as after a start of the whole deployment. Guards
// against an instance that gets the whole registry again with each request and each push, while the
// first one is still on its link.
TEST(state_pushes, give_the_whole_registry_once_though_it_changes) {
  auto group = founded_group();
  auto const leader = group.leader();
  group.call(leader, 1, announcement(1));
  auto const wholes = [&] {
    return std::ranges::count_if(group.updates("entry"), [](update const& one) {
      return one.base_registry_revision == 0 && !one.endpoints.empty();
    });
  };
  for (std::uint64_t report = 1; report <= 5; ++report) {
    group.send("entry", leader, subscription{.is_entry = true, .report = report});
    group.call(leader, report + 1, announcement(static_cast<int>(report) + 1));
    group.run(80ms);
  }
  EXPECT_EQ(wholes(), 1);
  group.run(500ms);
  group.send("entry", leader, subscription{.is_entry = true, .report = 6});
  EXPECT_EQ(wholes(), 2);
}

// All of 300 entry instances lose their state at once before 3000 endpoints, so each needs a
// registry of some 450 kB. Guards against a control instance that queues all of them within one
// moment, which is more memory than it has, whether it leads or knows no leader.
TEST(state_pushes, spread_the_whole_registries_for_instances_that_start_together) {
  constexpr int entries = 300;
  constexpr int endpoints = 3000;
  constexpr std::size_t max_queued_bytes = 64U * 1024 * 1024;
  auto group = founded_group();
  auto const leader = group.leader();
  group.call(leader, 1, replace_document{.document = {.revision = 7}, .source = "seven"});
  for (int i = 0; i < endpoints; ++i) {
    group.call(leader, static_cast<call_number>(i) + 2, announcement(i));
  }
  group.run(1s);
  auto const bytes_to_all = [&] {
    std::size_t sum = 0;
    for (int i = 0; i < entries; ++i) {
      sum += group.take_bytes_to(entry(i));
    }
    return sum;
  };
  auto const ask_all = [&](std::string const& from_whom) {
    for (int i = 0; i < entries; ++i) {
      group.send(entry(i), from_whom, subscription{.is_entry = true, .report = 1});
    }
  };
  ask_all(leader);
  EXPECT_LT(bytes_to_all(), max_queued_bytes);
  for (int round = 0; round < 20; ++round) {
    group.run(200ms);
    for (int i = 0; i < entries; ++i) {
      auto const& known = group.updates(entry(i)).back().state;
      group.send(entry(i), leader, subscription{.known = known, .is_entry = true, .report = 2});
    }
  }
  for (int i = 0; i < entries; ++i) {
    EXPECT_GT(group.updates(entry(i)).back().state.registry_revision, 0U) << i;
  }
  std::ignore = bytes_to_all();
  // A follower that knows no leader.
  auto const follower = leader == "a" ? "b" : "a";
  for (auto const* other : {"a", "b", "c"}) {
    if (std::string(other) != follower) {
      group.stop(other);
    }
  }
  group.run(2s);
  ask_all(follower);
  EXPECT_LT(bytes_to_all(), max_queued_bytes);
}

// All instances that lack the same changes get the same list, which is serialized once.
TEST(state_pushes, share_the_list_of_changes) {
  auto group = founded_group();
  auto const leader = group.leader();
  group.send("near", leader, subscription{.is_entry = true});
  group.send("far", leader, subscription{.is_entry = true});
  group.call(leader, 1, announcement(1));
  auto const& near = group.updates("near").back().endpoints;
  auto const& far = group.updates("far").back().endpoints;
  ASSERT_EQ(near.size(), 1U);
  EXPECT_EQ(&near.elements(), &far.elements());
}

} // namespace

} // namespace catkinlanding::proxy
