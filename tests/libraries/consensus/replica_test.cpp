#include <libraries/consensus/replica.h>

#include <gtest/gtest.h>

namespace catkinlanding::consensus {

namespace {

using namespace std::chrono_literals;

base::monotonic_time const start{1h};
voter const self{.instance = {"a"}, .disk_id = 1};
voter const second{.instance = {"b"}, .disk_id = 2};
voter const third{.instance = {"c"}, .disk_id = 3};

/// The state of one of three voters, in term 1, whose log holds the configuration and one command.
recovered_state recovered() {
  configuration const voters{.voters = {self, second, third}, .learners = {}, .desired_voters = {}};
  recovered_state state;
  state.hard_state.term = 1;
  state.entries.push_back({.term = 1,
                           .index = 1,
                           .kind = entry_kind::configuration,
                           .command = {},
                           .configuration = voters});
  state.entries.push_back(
      {.term = 1, .index = 2, .kind = entry_kind::command, .command = "x", .configuration = {}});
  return state;
}

replica follower() {
  replica::options options;
  options.self = self;
  return replica::create(std::move(options), recovered(), start);
}

void complete_writes(replica& replica, base::monotonic_time now, effects& out) {
  for (auto const& write : std::exchange(out.writes, {})) {
    replica.complete_write(write.id, now, out);
  }
}

/// Elects the replica in term 2 with the vote of the second voter.
void elect(replica& replica, base::monotonic_time now) {
  effects out;
  replica.tick(now, out);
  vote_response vote{.term = 1, .voter = second, .is_granted = true, .is_pre_vote = true};
  replica.receive(second.instance, vote, now, out);
  complete_writes(replica, now, out);
  vote = {.term = 2, .voter = second, .is_granted = true, .is_pre_vote = false};
  replica.receive(second.instance, vote, now, out);
  complete_writes(replica, now, out);
}

append_response append_acknowledgement(log_index index) {
  return {.term = 2, .voter = second, .is_success = true, .index = index, .request_sent_at = {}};
}

TEST(replica, commits_entries_of_earlier_terms_only_with_one_of_its_own) {
  auto leader = follower();
  auto const now = start + 5s;
  elect(leader, now);
  ASSERT_EQ(leader.role(), role::leader);
  effects out;
  leader.receive(second.instance, append_acknowledgement(2), now, out);
  EXPECT_EQ(leader.commit_index(), 0);
  leader.receive(second.instance, append_acknowledgement(3), now, out);
  EXPECT_EQ(leader.commit_index(), 3);
}

// Guards against a leader that queues the same entries again at each heartbeat, while they are
// still under way over a slow connection, until it has no memory left.
TEST(replica, sends_missing_entries_again_once_in_a_while_and_over_another_connection) {
  auto leader = follower();
  auto now = start + 10s;
  elect(leader, now);
  effects out;
  ASSERT_TRUE(leader.propose("y", now, out).has_value());
  append_response missing{
      .term = 2, .voter = second, .is_success = false, .index = 1, .request_sent_at = {}};
  int resent = 0;
  for (int heartbeat = 0; heartbeat < 10; ++heartbeat) {
    now += 80ms;
    out = {};
    leader.receive(second.instance, missing, now, out);
    for (auto const& sent : out.messages) {
      auto const* request = std::get_if<append_request>(&sent.message);
      bool const is_repeat = request != nullptr && !request->entries.empty();
      resent += is_repeat ? 1 : 0;
      EXPECT_TRUE(!is_repeat || sent.needs_new_connection);
    }
  }
  // One each 240 ms of the 800 ms.
  EXPECT_EQ(resent, 4);
}

TEST(replica, adopts_later_term_from_snapshot_response) {
  auto leader = follower();
  auto const now = start + 5s;
  elect(leader, now);
  effects out;
  snapshot_response const refusal{.term = 9, .voter = third};
  leader.receive(third.instance, refusal, now, out);
  EXPECT_EQ(leader.role(), role::follower);
  EXPECT_EQ(leader.term(), 9);
  auto follower_in_later_term = follower();
  snapshot_request const request{.term = 0, .leader = second, .target = self};
  effects answer;
  follower_in_later_term.receive(second.instance, request, now, answer);
  ASSERT_EQ(answer.messages.size(), 1);
  EXPECT_EQ(std::get<snapshot_response>(answer.messages[0].message).term, 1);
}

// Guards against a follower that never gets the snapshot it needs, as each of its parts is sent
// into a connection that delivers nothing, and against a leader that queues the same part at each
// heartbeat.
TEST(replica, sends_a_part_of_a_snapshot_again_once_in_a_while_and_over_another_connection) {
  auto leader = follower();
  auto now = start + 10s;
  elect(leader, now);
  effects out;
  leader.receive(second.instance, append_acknowledgement(3), now, out);
  ASSERT_EQ(leader.commit_index(), 3);
  leader.compact(3, "state", out);
  append_response const missing{
      .term = 2, .voter = third, .is_success = false, .index = 0, .request_sent_at = {}};
  leader.receive(third.instance, missing, now, out);
  int sent_parts = 0;
  int heartbeats = 0;
  for (auto const end = now + 800ms; now < end; now += 80ms) {
    leader.tick(now, out);
    for (auto const& sent : std::exchange(out.messages, {})) {
      auto const* part = std::get_if<snapshot_request>(&sent.message);
      if (part == nullptr) {
        continue;
      }
      ++heartbeats;
      bool const has_content = !part->bytes.empty();
      EXPECT_EQ(part->is_last, has_content);
      // The first part follows entries that the follower reported missing.
      EXPECT_EQ(sent.needs_new_connection, has_content);
      sent_parts += has_content ? 1 : 0;
    }
  }
  // A heartbeat each 160 ms of the 800 ms, and with every second one the part.
  EXPECT_EQ(heartbeats, 5);
  EXPECT_EQ(sent_parts, 3);
}

TEST(replica, keeps_entries_after_a_delayed_snapshot) {
  auto replica = follower();
  effects out;
  snapshot_request const delayed{.term = 1,
                                 .leader = second,
                                 .target = self,
                                 .index = 1,
                                 .index_term = 1,
                                 .configuration = {},
                                 .offset = 0,
                                 .bytes = "state",
                                 .is_last = true,
                                 .sent_at = {}};
  replica.receive(second.instance, delayed, start, out);
  EXPECT_EQ(replica.last_index(), 2);
  EXPECT_EQ(replica.commit_index(), 1);
  EXPECT_FALSE(out.restored_snapshot);
}

TEST(replica, denies_votes_while_leader_is_live_unless_it_transferred_leadership) {
  auto voter = follower();
  effects out;
  append_request heartbeat{.term = 1, .leader = second, .target = self};
  voter.receive(second.instance, heartbeat, start + 5s, out);
  vote_request request{.term = 2, .candidate = third, .last_index = 2, .last_term = 1};
  voter.receive(third.instance, request, start + 5s, out);
  EXPECT_EQ(voter.term(), 1);
  request.is_leadership_transfer = true;
  voter.receive(third.instance, request, start + 5s, out);
  EXPECT_EQ(voter.term(), 2);
}

TEST(replica, responds_to_vote_request_only_after_write_is_durable) {
  auto voter = follower();
  effects out;
  vote_request const request{.term = 2, .candidate = third, .last_index = 2, .last_term = 1};
  voter.receive(third.instance, request, start + 5s, out);
  EXPECT_TRUE(out.messages.empty());
  ASSERT_EQ(out.writes.size(), 1);
  EXPECT_EQ(out.writes[0].hard_state, (hard_state{.term = 2, .voted_for = third}));
  complete_writes(voter, start + 5s, out);
  ASSERT_EQ(out.messages.size(), 1);
  EXPECT_TRUE(std::get<vote_response>(out.messages[0].message).is_granted);
}

/// The role of a replica after all instances of its group granted it a pre-vote, with these disks.
/// Its configuration is of three disks and an instance that has not joined yet.
role role_after_votes_of(std::vector<voter> const& granted) {
  auto state = recovered();
  state.entries.front().configuration->voters.push_back({.instance = {"d"}, .disk_id = 0});
  replica::options options;
  options.self = self;
  auto candidate = replica::create(std::move(options), std::move(state), start);
  effects out;
  candidate.tick(start + 5s, out);
  for (auto const& v : granted) {
    vote_response const vote{.term = 1, .voter = v, .is_granted = true, .is_pre_vote = true};
    candidate.receive(v.instance, vote, start + 5s, out);
  }
  return candidate.role();
}

// Guards against a second group: with two disks lost, a fifth voter may have been added, and have
// stored acknowledged entries, without this instance.
TEST(replica, forms_a_group_anew_only_if_it_would_know_of_a_larger_one) {
  voter const other_second{.instance = second.instance, .disk_id = 12};
  voter const other_third{.instance = third.instance, .disk_id = 13};
  voter const fourth{.instance = {"d"}, .disk_id = 4};
  EXPECT_EQ(role_after_votes_of({other_second, third, fourth}), role::candidate);
  EXPECT_EQ(role_after_votes_of({other_second, third}), role::pre_candidate);
  EXPECT_EQ(role_after_votes_of({other_second, other_third, fourth}), role::pre_candidate);
}

TEST(replica, denies_votes_for_an_election_timeout_after_restart) {
  auto voter = follower();
  effects out;
  vote_request const request{.term = 2, .candidate = third, .last_index = 2, .last_term = 1};
  voter.receive(third.instance, request, start + 100ms, out);
  EXPECT_EQ(voter.term(), 1);
}

} // namespace

} // namespace catkinlanding::consensus
