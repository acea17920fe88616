#include <tests/support/router_fixture.h>

#include <tuple>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

/// An update of the leader of `term` that holds no document.
update make_update(std::uint64_t term, std::uint64_t registry_revision,
                   std::uint64_t rollouts_revision) {
  update made;
  made.state = {.document_revision = 1,
                .registry_term = term,
                .registry_revision = registry_revision,
                .rollouts_revision = rollouts_revision};
  made.base_registry_revision = term == 1 ? 1 : 0;
  return made;
}

/// Delivers the update with a rollout of the only version, which is in this state.
void receive_rollout(router& router, update made, rollout_state state) {
  made.rollouts = {{{.service = {"s"}, .target = {""}, .state = state, .number = 1}}};
  std::ignore = router.receive({"control"}, made, start);
}

endpoint_record make_record(endpoint_state state, std::uint64_t revision) {
  endpoint_announcement const announcement{.id = {"a"},
                                           .service = {"s"},
                                           .address = {.ip = "10.0.0.1", .port = 80},
                                           .zone = {"here"},
                                           .number = {.incarnation = 1, .sequence = 1}};
  return {.announcement = announcement, .state = state, .revision = revision};
}

// Guards against an entry instance that sends a trial's share to a version that was rolled back: an
// update that was held up behind a cut or in a frozen leader arrives after a newer one.
TEST_F(routers, keep_the_newest_rollout_state_when_an_older_update_arrives_late) {
  receive_state({"a"});
  receive_rollout(m_router, make_update(1, 1, 3), rollout_state::rolled_back);
  EXPECT_EQ(refusal_of(begin("/once/x")), refusal_kind::no_endpoint);
  receive_rollout(m_router, make_update(1, 1, 2), rollout_state::on_trial);
  EXPECT_EQ(refusal_of(begin("/once/x")), refusal_kind::no_endpoint);
}

// Guards against a verdict that ends the count: a version that turns bad under the full load must
// still be seen.
TEST_F(routers, report_the_answers_of_a_promoted_version) {
  receive_state({"a"});
  receive_rollout(m_router, make_update(1, 1, 3), rollout_state::promoted);
  ASSERT_TRUE(is_attempt(begin("/once/x")));
  std::ignore = fail(attempt_failure::failed_answer);
  auto const sent = m_router.tick(start + 1s);
  ASSERT_EQ(sent.size(), 1U);
  auto const& tallies = std::get<subscription>(sent.front().message).tallies;
  ASSERT_EQ(tallies.size(), 1U);
  EXPECT_EQ(tallies.front().route, "/once/");
  EXPECT_EQ(tallies.front().statistics.bad, 1U);
}

// Guards against a good version that is rolled back because a few requests which fail everywhere
// are counted once for each attempt.
TEST_F(routers, count_only_the_first_attempt_of_a_request) {
  receive_state({"a", "b"});
  receive_rollout(m_router, make_update(1, 1, 3), rollout_state::promoted);
  ASSERT_TRUE(is_attempt(begin("/again/x")));
  ASSERT_TRUE(is_attempt(fail(attempt_failure::failed_answer)));
  std::ignore = fail(attempt_failure::failed_answer);
  auto const sent = m_router.tick(start + 1s);
  ASSERT_EQ(sent.size(), 1U);
  auto const& tallies = std::get<subscription>(sent.front().message).tallies;
  ASSERT_EQ(tallies.size(), 1U);
  EXPECT_EQ(tallies.front().statistics.bad, 1U);
  EXPECT_EQ(tallies.front().statistics.answers, 1U);
}

// Guards against a slow version that is kept: the pace of its streams has to reach the leader while
// they run.
TEST_F(routers, report_the_pace_of_a_stream_before_it_ends) {
  receive_state({"a"});
  receive_rollout(m_router, make_update(1, 1, 3), rollout_state::on_trial);
  ASSERT_TRUE(is_attempt(begin("/stream/x")));
  std::ignore = m_router.note_answer(number, std::nullopt, start + 100ms);
  m_router.note_events(number, 2, start + 100ms);
  m_router.note_events(number, 1, start + 300ms);
  m_router.note_events(number, 2, start + 700ms);
  m_router.note_events(number, 1, start + 30s);
  auto const sent = m_router.tick(start + 1s);
  ASSERT_EQ(sent.size(), 1U);
  auto const& tallies = std::get<subscription>(sent.front().message).tallies;
  ASSERT_EQ(tallies.size(), 1U);
  auto const& interval = tallies.front().statistics.event_interval;
  EXPECT_EQ(interval.count(), 1U);
  EXPECT_GE(interval.median(), 200ms);
  EXPECT_LT(interval.median(), 300ms);
}

// Guards against a slow version that is kept because its callers leave before its answers come.
TEST_F(routers, count_an_answer_that_its_caller_gave_up_waiting_for) {
  receive_state({"a"});
  receive_rollout(m_router, make_update(1, 1, 3), rollout_state::on_trial);
  ASSERT_TRUE(is_attempt(begin("/stream/x")));
  m_router.end(number, start + 900ms);
  auto const sent = m_router.tick(start + 1s);
  ASSERT_EQ(sent.size(), 1U);
  auto const& tallies = std::get<subscription>(sent.front().message).tallies;
  ASSERT_EQ(tallies.size(), 1U);
  EXPECT_EQ(tallies.front().statistics.first_byte.count(), 1U);
}

// Guards against an acknowledged route that is not served: the update with its document comes over
// a connection, and a later one without it, a datagram, has overtaken it.
TEST_F(routers, take_a_document_whose_update_was_overtaken_by_a_later_change_of_endpoints) {
  receive_state({"a"});
  auto later = make_update(1, 3, 0);
  later.endpoints = {make_record(endpoint_state::gone, 3)};
  EXPECT_TRUE(m_router.receive({"control"}, later, start).is_changed);
  auto overtaken = make_update(1, 2, 0);
  overtaken.endpoints = {make_record(endpoint_state::ready, 2)};
  overtaken.document = document{.revision = 2, .services = {{.id = {"s"}}}};
  overtaken.document->routes = {make_route("/added/", route_kind::idempotent, 2)};
  auto const received = m_router.receive({"control"}, overtaken, start);
  EXPECT_TRUE(received.is_changed);
  EXPECT_TRUE(received.is_outdated);
  EXPECT_EQ(m_router.document_revision(), 2U);
  // The route is known, and the endpoint is still gone.
  EXPECT_EQ(refusal_of(begin("/added/x")), refusal_kind::no_endpoint);
}

// Guards against a document that an instance says it holds and never gets: an update that its
// sender took for unneeded names the revision, as a former process held it.
TEST_F(routers, say_that_they_hold_the_document_in_force_and_no_other) {
  receive_state({"a"});
  auto without_document = make_update(1, 2, 0);
  without_document.state.document_revision = 9;
  std::ignore = m_router.receive({"control"}, without_document, start);
  EXPECT_EQ(m_router.known().document_revision, 1U);
}

// Guards against requests to an endpoint that has left, after a late update of a former leader.
TEST_F(routers, keep_the_newest_endpoint_state_when_an_older_update_arrives_late) {
  receive_state({"a"});
  auto gone = make_update(2, 1, 0);
  gone.endpoints = {make_record(endpoint_state::gone, 1)};
  EXPECT_TRUE(m_router.receive({"leader"}, gone, start).is_changed);
  EXPECT_EQ(refusal_of(begin("/once/x")), refusal_kind::no_endpoint);
  auto ready = make_update(1, 2, 0);
  ready.endpoints = {make_record(endpoint_state::ready, 2)};
  EXPECT_FALSE(m_router.receive({"former"}, ready, start).is_changed);
  EXPECT_EQ(refusal_of(begin("/once/x")), refusal_kind::no_endpoint);
}

// Guards against requests beyond the rate that an endpoint states (LIMIT), whatever sends them: a
// new request, a retry, or one of a caller that comes back.
TEST_F(routers, send_nothing_beyond_the_rate_that_an_endpoint_states) {
  receive_state({"a", "b"});
  auto limited = make_update(1, 1, 0);
  limited.rate_grants = {{.source = {{"a"}, 1}, .rate = 4.0, .share = 1.0},
                         {.source = {{"b"}, 1}, .rate = 4.0, .share = 0.0}};
  std::ignore = m_router.receive({"control"}, limited, start);
  auto const refused = begin("/once/x");
  ASSERT_EQ(refusal_of(refused), refusal_kind::deferred);
  ASSERT_TRUE(std::get<refusal>(refused).retry_after.has_value());
  EXPECT_GE(*std::get<refusal>(refused).retry_after, 1s);
  auto const later = start + 1s;
  auto const sent = m_router.begin(number, facts("/again/x"), later);
  ASSERT_TRUE(is_attempt(sent));
  EXPECT_EQ(std::get<attempt>(sent).endpoint, base::endpoint_id{"a"});
  EXPECT_FALSE(is_attempt(m_router.fail(number, attempt_failure::not_executed, false, later)));
  EXPECT_FALSE(is_attempt(m_router.begin(number + 1, facts("/once/x"), later)));
}

// Guards against shares that are used after they went to other instances: an update arrives late,
// as its receiver's machine was suspended.
TEST_F(routers, count_the_time_of_a_grant_from_the_subscription_that_it_answers) {
  receive_state({"a"});
  auto const requested = m_router.tick(start);
  ASSERT_EQ(requested.size(), 1U);
  auto granted = make_update(1, 1, 0);
  granted.loads =
      load_summary{.counted_report = std::get<subscription>(requested.front().message).report};
  granted.rate_grants = {{.source = {{"a"}, 1}, .rate = 4.0, .share = 4.0}};
  granted.entry_instances = 1000;
  std::ignore = m_router.receive({"control"}, granted, start);
  EXPECT_TRUE(is_attempt(m_router.begin(number, facts("/once/x"), start + 300ms)));
  // The same answer again, 5 s later.
  std::ignore = m_router.receive({"control"}, granted, start + 5s);
  EXPECT_FALSE(is_attempt(m_router.begin(number + 1, facts("/once/x"), start + 5300ms)));
}

TEST_F(routers, report_the_rate_that_an_endpoint_states) {
  receive_state({"a"});
  ASSERT_TRUE(is_attempt(begin("/once/x")));
  auto const changes = m_router.note_notice(number, {.rate = 1.5, .is_rate_known = true}, start);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().kind, notice_kind::rate_limited);
  EXPECT_EQ(changes.front().rate, 1.5);
  EXPECT_EQ(refusal_of(m_router.begin(number + 1, facts("/once/x"), start)),
            refusal_kind::deferred);
  auto const sent = m_router.tick(start + 10ms);
  ASSERT_EQ(sent.size(), 1U);
  auto const& notices = std::get<subscription>(sent.front().message).rate_notices;
  ASSERT_EQ(notices.size(), 1U);
  EXPECT_EQ(notices.front().rate, 1.5);
}

TEST_F(routers, keep_serving_while_control_instances_are_unreachable) {
  receive_state({"a"});
  EXPECT_TRUE(m_router.is_connected(start));
  static_cast<void>(m_router.tick(start + 10s));
  EXPECT_FALSE(m_router.is_connected(start + 10s));
  EXPECT_TRUE(m_router.is_ready());
  EXPECT_TRUE(is_attempt(m_router.begin(number, facts("/once/x"), start + 10s)));
}

} // namespace

} // namespace catkinlanding::proxy
