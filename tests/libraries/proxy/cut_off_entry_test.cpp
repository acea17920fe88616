#include <tests/support/control_group.h>
#include <tests/support/router_fixture.h>

#include <set>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

/// An entry instance that reaches callers and other instances, but no endpoint.
class cut_off_entry : public routers {
protected:
  void SetUp() override {
    receive_state({"e1", "e2", "e3", "e4", "e5"});
    receive_peers({base::instance_id{"peer-1"}, base::instance_id{"peer-2"}});
  }

  void receive_peers(std::vector<base::instance_id> peers) {
    update received;
    received.state = {.document_revision = 1, .registry_term = 1, .registry_revision = 1};
    received.base_registry_revision = 1;
    received.relay_peers = std::move(peers);
    static_cast<void>(m_router.receive({"control"}, received, start));
  }

  /// Fails attempts until the request is passed on.
  [[nodiscard]] decision fail_until_relayed(decision made) {
    for (int i = 0; i < 10 && is_attempt(made); ++i) {
      made = fail(attempt_failure::unreachable);
    }
    return made;
  }

  /// Begins a stream whose endpoint has answered, without an event so far.
  void begin_stream(request_number stream) {
    auto patient = facts("/resume/");
    patient.caller_timeout = 30s;
    ASSERT_TRUE(is_attempt(m_router.begin(stream, patient, start)));
    ASSERT_FALSE(m_router.note_answer(stream, std::nullopt, start));
  }

  /// Ends requests that reach no endpoint, until the instance knows that it is cut off.
  void cut_off() {
    for (request_number other = 100; !m_router.is_cut_off() && other < 110; ++other) {
      static_cast<void>(m_router.begin(other, facts("/again/"), start));
      static_cast<void>(m_router.fail(other, attempt_failure::unreachable, false, start));
      m_router.end(other, start);
    }
    ASSERT_TRUE(m_router.is_cut_off());
  }
};

// Connections to endpoints fail, old ones may still work. Guards against a caller that is refused
// at its first try (RECOVER).
TEST_F(cut_off_entry, passes_a_request_on_that_could_not_be_sent_to_two_endpoints) {
  auto const made = fail_until_relayed(begin("/once/"));
  auto const* relayed = std::get_if<relay>(&made);
  ASSERT_NE(relayed, nullptr);
  EXPECT_TRUE(relayed->peer == base::instance_id{"peer-1"} ||
              relayed->peer == base::instance_id{"peer-2"});
  EXPECT_EQ(relayed->attempts_before, 0U);
  EXPECT_FALSE(relayed->may_have_run);
  EXPECT_EQ(relayed->deadline, start + 1s);
}

// Connections from before the cut live on while new ones are refused. Guards against an instance
// that takes an answer on one of them for the end of the cut, and sends the next requests to
// endpoints that it can't connect to (RECOVER).
TEST_F(cut_off_entry, stays_so_while_only_connections_from_before_answer) {
  constexpr request_number before = 50;
  ASSERT_TRUE(is_attempt(m_router.begin(before, facts("/resume/"), start)));
  cut_off();
  m_router.note_progress(before, start + 10ms);
  std::ignore = m_router.note_notice(before, {}, start + 20ms);
  EXPECT_TRUE(m_router.is_cut_off());
  EXPECT_TRUE(std::holds_alternative<relay>(begin("/once/")));
  m_router.note_reached();
  EXPECT_FALSE(m_router.is_cut_off());
}

TEST_F(cut_off_entry, passes_requests_on_at_once_when_it_knows) {
  cut_off();
  auto const made = begin("/once/");
  EXPECT_TRUE(std::holds_alternative<relay>(made));
  m_router.note_reached();
  EXPECT_FALSE(m_router.is_cut_off());
  EXPECT_TRUE(is_attempt(m_router.begin(2, facts("/once/"), start)));
}

// Guards against two instances that pass a request to each other.
TEST_F(cut_off_entry, does_not_pass_on_what_another_passed_to_it) {
  cut_off();
  auto relayed_facts = facts("/once/");
  relayed_facts.is_relayed = true;
  auto made = m_router.begin(number, relayed_facts, start);
  while (is_attempt(made)) {
    made = fail(attempt_failure::unreachable);
  }
  EXPECT_EQ(refusal_of(made), refusal_kind::not_run);
}

// Guards against a second execution, and against an untrue "not run" (TWICE, REFUSED): what the
// other instance did before its connection broke is unknown.
TEST_F(cut_off_entry, does_not_repeat_what_another_instance_may_have_executed) {
  cut_off();
  for (auto const* path : {"/once/", "/again/", "/resume/"}) {
    ASSERT_TRUE(std::holds_alternative<relay>(begin(path))) << path;
    EXPECT_EQ(refusal_of(fail(attempt_failure::broken)), refusal_kind::outcome_unknown) << path;
    m_router.end(number, start);
  }
}

// A stream that can be resumed was cut when the instance that it was passed on to ended, though
// others were left (LOST).
TEST_F(cut_off_entry, continues_a_stream_by_another_instance_if_the_first_breaks_it_off) {
  cut_off();
  auto const first = begin("/resume/");
  ASSERT_TRUE(std::holds_alternative<relay>(first));
  m_router.note_relay_tally(number, {.attempts = 2});
  auto const second = fail(attempt_failure::broken, true);
  ASSERT_TRUE(std::holds_alternative<relay>(second));
  EXPECT_NE(std::get<relay>(second).peer, std::get<relay>(first).peer);
  EXPECT_EQ(std::get<relay>(second).attempts_before, 2U);
  EXPECT_TRUE(std::get<relay>(second).may_have_run);
  // The route allows three.
  m_router.note_relay_tally(number, {.attempts = 3});
  EXPECT_EQ(refusal_of(fail(attempt_failure::broken, true)), refusal_kind::outcome_unknown);
}

TEST_F(cut_off_entry, continues_a_stream_at_an_endpoint_once_it_reaches_one) {
  cut_off();
  ASSERT_TRUE(std::holds_alternative<relay>(begin("/resume/")));
  m_router.note_relay_tally(number, {.attempts = 2});
  m_router.note_reached();
  auto const second = fail(attempt_failure::broken, true);
  ASSERT_TRUE(is_attempt(second));
  EXPECT_EQ(std::get<attempt>(second).number, 3U);
  EXPECT_FALSE(is_attempt(fail(attempt_failure::broken, true)));
}

// The endpoint broke and the instance, which goes on, is the only one.
TEST_F(cut_off_entry, continues_a_stream_by_the_instance_that_broke_it_off_if_there_is_no_other) {
  receive_peers({base::instance_id{"peer-1"}});
  cut_off();
  ASSERT_TRUE(std::holds_alternative<relay>(begin("/resume/")));
  m_router.note_relay_tally(number, {.attempts = 1});
  ASSERT_TRUE(std::holds_alternative<relay>(fail(attempt_failure::broken, true)));
  // It has ended meanwhile.
  EXPECT_FALSE(std::holds_alternative<relay>(fail(attempt_failure::unreachable, true)));
}

// Guards against a second execution, or a second beginning of an answer (TWICE).
TEST_F(cut_off_entry, repeats_nothing_else_that_another_instance_breaks_off) {
  cut_off();
  for (auto const* path : {"/once/", "/stream/", "/again/"}) {
    ASSERT_TRUE(std::holds_alternative<relay>(begin(path))) << path;
    m_router.note_relay_tally(number, {.attempts = 1});
    EXPECT_EQ(refusal_of(fail(attempt_failure::broken, true)), refusal_kind::outcome_unknown)
        << path;
    m_router.end(number, start);
  }
  for (auto const* path : {"/once/", "/stream/"}) {
    ASSERT_TRUE(std::holds_alternative<relay>(begin(path))) << path;
    m_router.note_relay_tally(number, {.attempts = 1});
    EXPECT_EQ(refusal_of(fail(attempt_failure::broken)), refusal_kind::outcome_unknown) << path;
    m_router.end(number, start);
  }
  ASSERT_TRUE(std::holds_alternative<relay>(begin("/again/")));
  m_router.note_relay_tally(number, {.attempts = 1});
  EXPECT_TRUE(std::holds_alternative<relay>(fail(attempt_failure::broken)));
}

// Guards against a request that ends endpoints by way of one instance after another.
TEST_F(cut_off_entry, passes_a_request_on_no_more_under_which_two_endpoints_ended) {
  cut_off();
  auto const first = begin("/resume/");
  ASSERT_TRUE(std::holds_alternative<relay>(first));
  m_router.note_relay_tally(number, {.attempts = 1, .endings = 1});
  auto const second = fail(attempt_failure::broken, true);
  ASSERT_TRUE(std::holds_alternative<relay>(second));
  EXPECT_EQ(std::get<relay>(second).endings_before, 1U);
  m_router.note_relay_tally(number, {.attempts = 2, .endings = 2});
  EXPECT_EQ(refusal_of(fail(attempt_failure::broken, true)), refusal_kind::outcome_unknown);
}

TEST_F(cut_off_entry, counts_the_endings_that_the_instance_before_it_has_seen) {
  auto relayed_facts = facts("/resume/");
  relayed_facts.is_relayed = true;
  relayed_facts.attempts_before = 1;
  relayed_facts.endings_before = 1;
  ASSERT_TRUE(is_attempt(m_router.begin(number, relayed_facts, start)));
  EXPECT_FALSE(is_attempt(fail(attempt_failure::broken)));
}

// Guards against instances that together use more attempts than the route allows: what one leaves
// to the other it doesn't use.
TEST_F(cut_off_entry, uses_no_attempt_that_it_has_left_to_the_instance_before_it) {
  auto relayed_facts = facts("/resume/");
  relayed_facts.is_relayed = true;
  ASSERT_TRUE(is_attempt(m_router.begin(number, relayed_facts, start)));
  m_router.note_events(number, 1, start);
  EXPECT_EQ(m_router.hand_over(number), (relay_tally{.attempts = 2, .endings = 1}));
  EXPECT_TRUE(is_attempt(fail(attempt_failure::broken, true)));
  m_router.note_events(number, 1, start);
  EXPECT_FALSE(is_attempt(fail(attempt_failure::broken, true)));
}

// A stream whose endpoint fell silent lasted until its deadline: the only attempt that could
// replace it was left to the instance before, which doesn't see the silence (LOST).
TEST_F(cut_off_entry, keeps_the_last_attempt_for_a_stream_that_falls_silent) {
  auto relayed_facts = facts("/resume/");
  relayed_facts.is_relayed = true;
  relayed_facts.attempts_before = 1;
  ASSERT_TRUE(is_attempt(m_router.begin(number, relayed_facts, start)));
  ASSERT_FALSE(m_router.note_answer(number, std::nullopt, start));
  m_router.note_events(number, 1, start);
  EXPECT_EQ(m_router.hand_over(number).attempts, 3U);
  EXPECT_TRUE(m_router.stall_deadline(number).has_value());
  EXPECT_TRUE(is_attempt(fail(attempt_failure::broken, true)));
}

// A stalled request was passed on as one that no endpoint had, so that its caller could be told
// that it had not run.
TEST_F(cut_off_entry, says_that_a_stalled_request_which_it_passes_on_may_have_run) {
  begin_stream(number);
  cut_off();
  auto const asked = m_router.try_replace_stalled(number, start + 3s);
  ASSERT_TRUE(asked && std::holds_alternative<relay>(*asked));
  EXPECT_TRUE(std::get<relay>(*asked).may_have_run);
}

// A stalled request went to one instance after another, and then to endpoints, beyond the attempts
// of its route.
TEST_F(cut_off_entry, sends_a_stalled_request_nowhere_after_a_relay_that_may_have_sent_it) {
  begin_stream(number);
  cut_off();
  ASSERT_TRUE(try_replace_stalled(start + 3s));
  m_router.fail_replacement(number, attempt_failure::broken, start + 3s);
  EXPECT_FALSE(try_replace_stalled(start + 6s));
  m_router.note_reached();
  EXPECT_FALSE(is_attempt(fail(attempt_failure::broken, false, 6s)));
}

// A stalled request that nobody could take used up the retries of all others, one at each check.
TEST_F(cut_off_entry, takes_no_retry_for_a_stalled_request_that_nobody_can_take) {
  constexpr int checks = 1000;
  begin_stream(number);
  begin_stream(number + 1);
  cut_off();
  while (try_replace_stalled(start + 3s)) {
    m_router.fail_replacement(number, attempt_failure::unreachable, start + 3s);
  }
  for (int i = 0; i < checks; ++i) {
    EXPECT_FALSE(try_replace_stalled(start + 3s));
  }
  EXPECT_TRUE(m_router.try_replace_stalled(number + 1, start + 3s).has_value());
}

// Stalled requests were passed on without regard to the limit on retries.
TEST_F(cut_off_entry, takes_a_retry_for_each_stalled_request_that_it_passes_on) {
  constexpr request_number streams = 400;
  for (request_number i = 1; i <= streams; ++i) {
    begin_stream(i);
  }
  cut_off();
  std::size_t passed_on = 0;
  for (request_number i = 1; i <= streams; ++i) {
    passed_on += m_router.try_replace_stalled(i, start + 3s).has_value() ? 1 : 0;
  }
  EXPECT_GT(passed_on, 0U);
  EXPECT_LT(passed_on, streams);
}

TEST_F(cut_off_entry, turns_to_another_instance_if_the_first_cannot_be_reached) {
  cut_off();
  auto made = begin("/once/");
  std::set<std::string> peers;
  while (auto const* relayed = std::get_if<relay>(&made)) {
    EXPECT_TRUE(peers.insert(relayed->peer.value).second);
    made = fail(attempt_failure::unreachable);
  }
  EXPECT_EQ(peers, (std::set<std::string>{"peer-1", "peer-2"}));
  EXPECT_EQ(refusal_of(made), refusal_kind::not_run);
}

// Guards against a caller that is sent away because the instance which its request was passed on to
// stops, though others reach the endpoints.
TEST_F(cut_off_entry, turns_to_another_instance_if_the_first_stops) {
  cut_off();
  auto const first = begin("/once/");
  ASSERT_TRUE(std::holds_alternative<relay>(first));
  auto const second = fail(attempt_failure::not_executed);
  ASSERT_TRUE(std::holds_alternative<relay>(second));
  EXPECT_NE(std::get<relay>(second).peer, std::get<relay>(first).peer);
  EXPECT_EQ(refusal_of(fail(attempt_failure::not_executed)), refusal_kind::not_run);
}

// A request that can't be served is refused at once, not when its time is over.
TEST_F(cut_off_entry, refuses_at_once_without_another_instance) {
  routers::m_router = router(options());
  receive_state({"e1", "e2", "e3", "e4", "e5"});
  cut_off();
  auto made = begin("/once/");
  int attempts = 0;
  for (; is_attempt(made); ++attempts) {
    made = fail(attempt_failure::unreachable);
  }
  EXPECT_LE(attempts, 2);
  EXPECT_EQ(refusal_of(made), refusal_kind::not_run);
}

// Endpoints that were sent the request before count against the route's limit at the other
// instance (BUDGET).
TEST_F(cut_off_entry, tells_how_many_endpoints_had_the_request) {
  ASSERT_TRUE(is_attempt(begin("/resume/")));
  cut_off();
  auto const made = fail(attempt_failure::broken, true);
  auto const* relayed = std::get_if<relay>(&made);
  ASSERT_NE(relayed, nullptr);
  EXPECT_EQ(relayed->attempts_before, 1U);
  EXPECT_TRUE(relayed->may_have_run);
}

TEST_F(cut_off_entry, counts_the_endpoints_that_had_a_relayed_request) {
  auto relayed_facts = facts("/again/");
  relayed_facts.is_relayed = true;
  relayed_facts.attempts_before = 1;
  ASSERT_TRUE(is_attempt(m_router.begin(number, relayed_facts, start)));
  // Its route allows two.
  EXPECT_FALSE(is_attempt(fail(attempt_failure::broken)));
}

TEST_F(cut_off_entry, sends_a_relayed_request_nowhere_that_has_no_attempt_left) {
  auto relayed_facts = facts("/again/");
  relayed_facts.is_relayed = true;
  relayed_facts.attempts_before = 2;
  EXPECT_EQ(refusal_of(m_router.begin(number, relayed_facts, start)), refusal_kind::not_run);
}

// Guards against endpoints that are avoided for the instance's own trouble when it is over.
TEST_F(cut_off_entry, does_not_blame_the_endpoints) {
  cut_off();
  m_router.note_reached();
  std::set<std::string> used;
  for (request_number other = 200; other < 300; ++other) {
    auto const made = m_router.begin(other, facts("/again/"), start);
    used.insert(std::get<attempt>(made).endpoint.value);
    m_router.end(other, start);
  }
  EXPECT_EQ(used.size(), 5U);
}

// One zone of 300 entry instances is cut off. Each is told of others that reach the endpoints, and
// the work is spread over all of these.
TEST(relay_peers, are_live_reach_the_endpoints_and_are_spread) {
  constexpr int entries = 300;
  constexpr int cut_off_entries = 60;
  downstream_table table({});
  auto const id = [](int number) { return base::instance_id{"entry-" + std::to_string(number)}; };
  for (int i = 0; i < entries; ++i) {
    table.note(id(i), {.is_entry = true, .is_cut_off = i < cut_off_entries}, start);
  }
  table.note({"control"}, {.is_entry = false}, start);
  std::map<std::string, int> named;
  for (int round = 0; round < 10; ++round) {
    for (int i = 0; i < cut_off_entries; ++i) {
      auto const peers = table.relay_peers_for(id(i), start);
      EXPECT_FALSE(peers.empty());
      for (auto const& peer : peers) {
        ++named[peer.value];
      }
    }
  }
  for (int i = 0; i < cut_off_entries; ++i) {
    EXPECT_FALSE(named.contains(id(i).value));
  }
  EXPECT_FALSE(named.contains("control"));
  EXPECT_EQ(named.size(), static_cast<std::size_t>(entries - cut_off_entries));
  int most = 0;
  for (auto const& [peer, times] : named) {
    most = std::max(most, times);
  }
  EXPECT_LE(most, 10 * cut_off_entries * 3 / (entries - cut_off_entries) + 2);
  // Nobody is named who has not been heard for a while.
  EXPECT_TRUE(table.relay_peers_for(id(0), start + 2s).empty());
}

TEST(relay_peers, reach_a_cut_off_entry_instance_with_its_updates) {
  testing::control_group group({"a"});
  group.start("a", 1, true);
  group.run(2s);
  group.send("near", "a", subscription{.is_entry = true});
  group.send("far", "a", subscription{.is_entry = true, .is_cut_off = true});
  ASSERT_FALSE(group.updates("far").empty());
  ASSERT_EQ(group.updates("far").back().relay_peers.size(), 1U);
  EXPECT_EQ(group.updates("far").back().relay_peers.front(), base::instance_id{"near"});
  group.send("near", "a", subscription{.is_entry = true});
  EXPECT_TRUE(group.updates("near").back().relay_peers.empty());
}

} // namespace

} // namespace catkinlanding::proxy
