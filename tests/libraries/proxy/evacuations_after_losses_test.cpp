#include <tests/support/evacuation_fixture.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;
using names = std::set<std::string>;

class evacuations_after_losses : public evacuations_of_zones {
protected:
  /// Kills all instances at once, so that only what is on their disks is left.
  void restart_group() {
    for (auto const* id : {"a", "b", "c"}) {
      m_group.stop(id);
    }
    for (auto const* id : {"a", "b", "c"}) {
      m_group.restart(id);
    }
    m_group.run(5s);
  }
};

// The leader is lost after the order was committed, and before the call was answered.
TEST_F(evacuations_after_losses, are_acknowledged_at_once_by_the_next_leader) {
  subscribe("silent");
  auto const first = call(begin_evacuation{{"x"}});
  m_group.run(100ms);
  ASSERT_EQ(reply(first), std::nullopt);
  replace_leader();
  EXPECT_TRUE(is_out_of_use("x"));
  EXPECT_EQ(reply(call(begin_evacuation{{"x"}})), reply_kind::done);
}

// Guards against a next leader that calls the endpoints ready until it is told again.
TEST_F(evacuations_after_losses, are_in_the_first_update_of_the_next_leader) {
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  replace_leader();
  subscribe("entry");
  ASSERT_EQ(m_group.updates("entry").size(), 1U);
  EXPECT_EQ(state_sent("entry", "ex"), endpoint_state::leaving);
  EXPECT_EQ(state_sent("entry", "ey"), endpoint_state::ready);
}

TEST_F(evacuations_after_losses, can_be_ended_by_the_next_leader) {
  m_group.start_entry("entry");
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  replace_leader();
  m_group.run(1s);
  EXPECT_EQ(used_by("entry"), (names{"ey"}));
  EXPECT_EQ(reply_to(end_evacuation{{"x"}}), reply_kind::done);
  EXPECT_EQ(used_by("entry"), (names{"ex", "ey"}));
}

// An entry instance that started during a term has newer announcements than the other control
// instances, and ignores records with older ones. Guards against requests to a zone that the next
// leader took out of use before its endpoints had announced themselves to it.
TEST_F(evacuations_after_losses, reach_entry_instances_that_know_newer_announcements) {
  announce_all(50);
  m_group.start_entry("entry");
  m_group.run(1s);
  replace_leader();
  call(begin_evacuation{{"x"}});
  // The entry instance finds the leader within this time.
  m_group.run(1500ms);
  announce_all(60);
  m_group.run(500ms);
  EXPECT_EQ(used_by("entry"), (names{"ey"}));
}

// The same for the end: the endpoints would stay without requests.
TEST_F(evacuations_after_losses, end_at_entry_instances_that_know_newer_announcements) {
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  announce_all(50);
  m_group.start_entry("entry");
  m_group.run(1s);
  replace_leader();
  call(end_evacuation{{"x"}});
  // The entry instance finds the leader within this time.
  m_group.run(1500ms);
  announce_all(60);
  m_group.run(500ms);
  EXPECT_EQ(used_by("entry"), (names{"ex", "ey"}));
}

TEST_F(evacuations_after_losses, survive_the_loss_of_all_processes) {
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  restart_group();
  announce_all(2);
  m_group.start_entry("entry");
  m_group.run(1s);
  EXPECT_EQ(used_by("entry"), (names{"ey"}));
}

// A document of this size makes each instance replace its log by a snapshot.
TEST_F(evacuations_after_losses, survive_snapshots) {
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  EXPECT_EQ(reply_to(document(2, std::string(600'000, ' '))), reply_kind::done);
  restart_group();
  announce_all(2);
  m_group.start_entry("entry");
  m_group.run(1s);
  EXPECT_EQ(used_by("entry"), (names{"ey"}));
}

// Guards against an instance that gets the end of an evacuation within a snapshot, and goes on
// showing the zone as out of use once it leads.
TEST_F(evacuations_after_losses, end_at_instances_that_get_a_snapshot) {
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  m_group.isolate("c");
  EXPECT_EQ(reply_to(end_evacuation{{"x"}}), reply_kind::done);
  EXPECT_EQ(reply_to(document(2, std::string(600'000, ' '))), reply_kind::done);
  m_group.reconnect("c");
  m_group.run(3s);
  while (m_group.leader() != "c") {
    auto const leader = m_group.leader();
    replace_leader();
    m_group.restart(leader);
    m_group.run(2s);
  }
  announce_all(2);
  subscribe("entry");
  EXPECT_EQ(state_sent("entry", "ex"), endpoint_state::ready);
}

// An entry instance that starts in an isolated zone gets the last known state of a control instance
// there. Guards against requests to a zone that was taken out of use before.
TEST_F(evacuations_after_losses, are_part_of_the_last_known_state) {
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  m_group.stop("a");
  m_group.stop("c");
  m_group.run(2s);
  m_group.start_entry("entry");
  m_group.run(3s);
  ASSERT_TRUE(m_group.entry("entry").is_ready());
  EXPECT_EQ(used_by("entry"), (names{"ey"}));
}

// Guards against a zone that comes back into use at an entry instance which is cut off.
TEST_F(evacuations_after_losses, stay_in_force_at_an_entry_instance_that_is_cut_off) {
  m_group.start_entry("entry");
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  m_group.isolate("entry");
  m_group.run(5s);
  EXPECT_EQ(used_by("entry"), (names{"ey"}));
}

// An entry instance that was cut off while a zone was taken out of use complies once it is back.
TEST_F(evacuations_after_losses, reach_an_entry_instance_that_returns) {
  m_group.start_entry("entry");
  m_group.run(1s);
  m_group.isolate("entry");
  EXPECT_EQ(reply_to(begin_evacuation{{"x"}}), reply_kind::done);
  EXPECT_EQ(used_by("entry"), (names{"ex", "ey"}));
  m_group.reconnect("entry");
  m_group.run(2s);
  EXPECT_EQ(used_by("entry"), (names{"ey"}));
}

} // namespace

} // namespace catkinlanding::proxy
