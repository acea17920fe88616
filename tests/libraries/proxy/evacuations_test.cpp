#include <libraries/proxy/evacuation_codec.h>
#include <tests/support/evacuation_fixture.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;
using names = std::set<std::string>;

TEST_F(evacuations_of_zones, keep_requests_away_until_they_end) {
  m_group.start_entry("entry");
  m_group.run(1s);
  EXPECT_EQ(used_by("entry"), (names{"ex", "ey"}));
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  EXPECT_EQ(used_by("entry"), (names{"ey"}));
  EXPECT_EQ(reply_to(end_evacuation{{"x"}}), reply_kind::done);
  EXPECT_EQ(used_by("entry"), (names{"ex", "ey"}));
}

// Guards against an acknowledgement of what can still be lost.
TEST_F(evacuations_of_zones, are_acknowledged_only_once_committed) {
  m_group.isolate("b");
  m_group.isolate("c");
  auto const number = call(begin_evacuation{{"x"}});
  m_group.run(200ms);
  EXPECT_EQ(reply(number), std::nullopt);
  m_group.run(1s);
  EXPECT_EQ(reply(number), reply_kind::unavailable);
}

// Guards against a promise that an entry instance has not heard of.
TEST_F(evacuations_of_zones, are_acknowledged_once_all_entry_instances_know) {
  subscribe("far");
  auto const number = call(begin_evacuation{{"x"}});
  EXPECT_EQ(reply(number), std::nullopt);
  EXPECT_EQ(state_sent("far", "ex"), endpoint_state::leaving);
  auto const known = m_group.updates("far").back().state;
  m_group.send("far", m_group.leader(), confirmation{known});
  EXPECT_EQ(reply(number), reply_kind::done);
}

// An entry instance confirms an update with a departure at once.
TEST_F(evacuations_of_zones, are_confirmed_by_entry_instances_at_once) {
  m_group.start_entry("entry");
  m_group.run(1s);
  EXPECT_EQ(reply(call(begin_evacuation{{"x"}})), reply_kind::done);
}

// An operator waits for one second.
TEST_F(evacuations_of_zones, are_acknowledged_in_time_though_an_entry_instance_is_silent) {
  subscribe("silent");
  auto const number = call(begin_evacuation{{"x"}});
  m_group.run(800ms);
  EXPECT_EQ(reply(number), reply_kind::done);
}

TEST_F(evacuations_of_zones, may_be_ordered_repeatedly) {
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  auto const revision = m_group.node(m_group.leader()).registry().revision();
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  EXPECT_EQ(m_group.node(m_group.leader()).registry().revision(), revision);
  EXPECT_EQ(reply_to(end_evacuation{{"x"}}), reply_kind::done);
  EXPECT_EQ(reply_to(end_evacuation{{"x"}}), reply_kind::done);
  EXPECT_FALSE(is_out_of_use("x"));
}

TEST_F(evacuations_of_zones, may_end_without_a_start) {
  EXPECT_EQ(reply_to(end_evacuation{{"x"}}), reply_kind::done);
  EXPECT_FALSE(is_out_of_use("x"));
}

// Guards against an endpoint that starts in a zone out of use, and gets requests.
TEST_F(evacuations_of_zones, apply_to_endpoints_that_start_later) {
  m_group.start_entry("entry");
  EXPECT_EQ(reply_to(begin_evacuation{{"new"}}), reply_kind::done);
  call(announcement("later", "new", 1, 3));
  m_group.run(500ms);
  EXPECT_EQ(used_by("entry"), (names{"ex", "ey"}));
  EXPECT_EQ(reply_to(end_evacuation{{"new"}}), reply_kind::done);
  EXPECT_EQ(used_by("entry"), (names{"ex", "ey", "later"}));
}

TEST_F(evacuations_of_zones, may_apply_to_all_zones_at_once) {
  m_group.start_entry("entry");
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  EXPECT_EQ(reply_to(begin_evacuation{{"y"}}), reply_kind::done);
  EXPECT_EQ(used_by("entry"), names{});
}

// Guards against an entry instance that starts or restarts during an evacuation.
TEST_F(evacuations_of_zones, reach_entry_instances_that_start_later) {
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  m_group.start_entry("entry");
  m_group.run(1s);
  EXPECT_EQ(used_by("entry"), (names{"ey"}));
}

// Guards against a control instance that knows the endpoints only as entry instances see them: as
// the next leader it could not put them back into use.
TEST_F(evacuations_of_zones, leave_the_state_of_endpoints_known_to_control_instances) {
  subscribe("peer", false);
  subscribe("entry");
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  EXPECT_EQ(state_sent("peer", "ex"), endpoint_state::ready);
  EXPECT_EQ(state_sent("entry", "ex"), endpoint_state::leaving);
  for (auto const* id : {"a", "b", "c"}) {
    EXPECT_EQ(m_group.node(id).registry().find({"ex"})->state, endpoint_state::ready) << id;
  }
}

// Guards against an endpoint that said that it leaves, and gets requests when the evacuation ends.
TEST_F(evacuations_of_zones, do_not_bring_back_endpoints_that_left_meanwhile) {
  m_group.start_entry("entry");
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  auto leaving = announcement("ex", "x", 2, 1);
  leaving.announcement.is_leaving = true;
  EXPECT_EQ(reply_to(leaving), reply_kind::done);
  EXPECT_EQ(reply_to(end_evacuation{{"x"}}), reply_kind::done);
  EXPECT_EQ(used_by("entry"), (names{"ey"}));
}

// Two operators at once: both orders are in the log before one of them is committed.
TEST_F(evacuations_of_zones, follow_the_order_that_is_committed_last) {
  m_group.isolate("b");
  m_group.isolate("c");
  auto const first = call(begin_evacuation{{"x"}});
  auto const second = call(end_evacuation{{"x"}});
  EXPECT_EQ(reply(first), std::nullopt);
  m_group.reconnect("b");
  m_group.reconnect("c");
  m_group.run(500ms);
  EXPECT_EQ(reply(first), reply_kind::done);
  EXPECT_EQ(reply(second), reply_kind::done);
  EXPECT_FALSE(is_out_of_use("x"));
}

// Guards against a second order that is taken for a repeated one, as the order between them is not
// committed yet.
TEST_F(evacuations_of_zones, follow_an_order_that_repeats_one_before_the_last) {
  m_group.isolate("b");
  m_group.isolate("c");
  call(begin_evacuation{{"x"}});
  call(end_evacuation{{"x"}});
  auto const last = call(begin_evacuation{{"x"}});
  m_group.reconnect("b");
  m_group.reconnect("c");
  m_group.run(500ms);
  EXPECT_EQ(reply(last), reply_kind::done);
  EXPECT_TRUE(is_out_of_use("x"));
}

// Guards against an end that is answered at once, as the zone is in use until the start before it
// is committed.
TEST_F(evacuations_of_zones, are_not_ended_by_a_call_that_was_answered_too_early) {
  m_group.isolate("b");
  m_group.isolate("c");
  call(begin_evacuation{{"x"}});
  auto const number = call(end_evacuation{{"x"}});
  m_group.run(100ms);
  EXPECT_EQ(reply(number), std::nullopt);
}

// Guards against a repeated order that is never answered while the first one is in the log.
TEST_F(evacuations_of_zones, acknowledge_a_repeated_call_with_the_first_one) {
  m_group.isolate("b");
  m_group.isolate("c");
  auto const first = call(begin_evacuation{{"x"}});
  auto const second = call(begin_evacuation{{"x"}});
  m_group.reconnect("b");
  m_group.reconnect("c");
  m_group.run(500ms);
  EXPECT_EQ(reply(first), reply_kind::done);
  EXPECT_EQ(reply(second), reply_kind::done);
  EXPECT_TRUE(is_out_of_use("x"));
}

TEST_F(evacuations_of_zones, are_redirected_to_the_leader) {
  m_group.call("b", 1000, begin_evacuation{{"x"}});
  EXPECT_EQ(reply(1000), reply_kind::not_leader);
}

// Guards against memory that grows with each misspelt zone.
TEST_F(evacuations_of_zones, are_refused_beyond_the_bound_of_zones) {
  for (std::size_t i = 0; i < evacuations::zone_table::max_zones; ++i) {
    ASSERT_EQ(reply(call(begin_evacuation{{std::to_string(i)}})), reply_kind::done) << i;
  }
  EXPECT_EQ(reply(call(begin_evacuation{{"x"}})), reply_kind::unavailable);
  EXPECT_EQ(reply(call(end_evacuation{{"x"}})), reply_kind::done);
  call(end_evacuation{{"0"}});
  EXPECT_EQ(reply(call(begin_evacuation{{"x"}})), reply_kind::done);
}

// Guards against an endpoint whose announcement or withdrawal is stored as an order for a zone.
TEST_F(evacuations_of_zones, can_not_be_forged_by_endpoints) {
  auto const reserved = encode_order({.zone = {"x"}, .number = 1}).source.endpoint;
  auto forged = announcement(reserved.value, "x", 1, 9);
  EXPECT_EQ(reply_to(forged), reply_kind::unavailable);
  m_group.call("b", 1000, forged);
  EXPECT_NE(reply(1000), reply_kind::done);
  m_group.send("b", m_group.leader(), relayed_announcements{{forged.announcement}});
  forged.announcement.is_leaving = true;
  EXPECT_EQ(reply_to(forged), reply_kind::unavailable);
  EXPECT_EQ(reply_to(withdraw_endpoint{.endpoint = reserved, .incarnation = 1}),
            reply_kind::unavailable);
  EXPECT_EQ(m_group.node(m_group.leader()).registry().find(reserved), nullptr);
  EXPECT_FALSE(is_out_of_use("x"));
}

} // namespace

} // namespace catkinlanding::proxy
