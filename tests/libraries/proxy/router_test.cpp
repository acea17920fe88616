#include <tests/support/router_fixture.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

TEST_F(routers, refuse_requests_before_the_first_document) {
  EXPECT_FALSE(m_router.is_ready());
  auto const made = begin("/once/x");
  ASSERT_EQ(refusal_of(made), refusal_kind::no_document);
  EXPECT_TRUE(std::get<refusal>(made).retry_after.has_value());
}

// After a restart of all instances, callers may return before the control instances have elected a
// leader. Callers retry only a few times, so a refusal at this point is often final.
TEST_F(routers, hold_requests_until_the_first_document_after_startup) {
  auto long_request = facts("/once/x");
  long_request.caller_timeout = 25s;
  EXPECT_EQ(m_router.wait_for_state(long_request, start), std::nullopt);
  std::ignore = m_router.tick(start);
  auto const end = m_router.wait_for_state(long_request, start + 100ms);
  ASSERT_TRUE(end.has_value());
  EXPECT_LE(*end, start + 3s);
  EXPECT_EQ(m_router.wait_for_state(long_request, *end), std::nullopt);
  receive_state({"a"});
  EXPECT_EQ(m_router.wait_for_state(long_request, start + 100ms), std::nullopt);
}

// A new leader knows no endpoints until these announce themselves.
TEST_F(routers, hold_requests_until_the_first_endpoint_after_startup) {
  std::ignore = m_router.tick(start);
  receive_state({});
  auto long_request = facts("/once/x");
  long_request.caller_timeout = 25s;
  EXPECT_TRUE(m_router.wait_for_state(long_request, start + 100ms).has_value());
  EXPECT_EQ(m_router.wait_for_state(facts("/nowhere/x"), start + 100ms), std::nullopt);
}

TEST_F(routers, report_the_route_and_customer_of_an_unsent_request) {
  receive_state({});
  auto const made = begin("/once/x");
  ASSERT_EQ(refusal_of(made), refusal_kind::no_endpoint);
  EXPECT_EQ(std::get<refusal>(made).route, "/once/");
  EXPECT_EQ(std::get<refusal>(made).customer, base::customer_id{"ann"});
}

// A caller that is refused needs up to a second to reach another instance.
TEST_F(routers, hold_requests_while_their_callers_have_time_to_go_elsewhere) {
  std::ignore = m_router.tick(start);
  auto request = facts("/once/x");
  EXPECT_EQ(m_router.wait_for_state(request, start + 100ms), std::nullopt);
  request.caller_timeout = 1500ms;
  EXPECT_EQ(m_router.wait_for_state(request, start + 100ms), start + 600ms);
  request.waited = 500ms;
  EXPECT_EQ(m_router.wait_for_state(request, start + 600ms), std::nullopt);
}

// A request was held past its route's timeout, as only its caller's time was looked at.
TEST_F(routers, hold_requests_no_longer_than_their_route_allows) {
  std::ignore = m_router.tick(start);
  receive_state({});
  update received;
  received.state = {.document_revision = 2, .registry_term = 1, .registry_revision = 1};
  auto brief = make_route("/brief/", route_kind::idempotent, 2);
  brief.timeout = 1500ms;
  received.document = document{.revision = 2, .routes = {brief}};
  ASSERT_TRUE(m_router.receive({"control"}, received, start).is_changed);
  auto request = facts("/brief/x");
  request.caller_timeout = 25s;
  EXPECT_EQ(m_router.wait_for_state(request, start + 100ms), start + 600ms);
}

TEST_F(routers, count_time_spent_waiting_towards_the_deadline) {
  receive_state({"a"});
  auto waited = facts("/once/x");
  waited.waited = 600ms;
  auto const made = m_router.begin(number, waited, start + 600ms);
  ASSERT_TRUE(is_attempt(made));
  EXPECT_EQ(std::get<attempt>(made).deadline, start + 1s);
  waited.waited = 1s;
  EXPECT_EQ(refusal_of(m_router.begin(number + 1, waited, start + 1s)),
            refusal_kind::expired_unsent);
}

// An entry instance restarts in an isolated zone. It can serve from the last known state of the
// zone's control instance.
TEST_F(routers, serve_from_the_last_known_state_without_a_leader) {
  last_known_state state;
  state.document = {.revision = 3,
                    .routes = {make_route("/once/", route_kind::at_most_once, 1)},
                    .services = {{.id = {"s"}}}};
  endpoint_announcement const announcement{.id = {"a"}, .service = {"s"}, .zone = {"here"}};
  state.endpoints = {{.announcement = announcement}};
  std::ignore = m_router.tick(start);
  EXPECT_FALSE(m_router.receive({"control"}, state, start + 500ms).is_changed);
  EXPECT_FALSE(m_router.is_ready());
  EXPECT_TRUE(m_router.receive({"control"}, state, start + 1s).is_changed);
  EXPECT_TRUE(is_attempt(begin("/once/x")));
  state.document.revision = 2;
  EXPECT_FALSE(m_router.receive({"control"}, state, start + 2s).is_changed);
  EXPECT_EQ(m_router.document_revision(), 3U);
}

TEST_F(routers, refuse_unknown_routes_and_keys) {
  receive_state({"a"});
  EXPECT_EQ(refusal_of(begin("/nowhere/x")), refusal_kind::unknown_route);
  auto unknown_caller = facts("/once/x");
  unknown_caller.key = "other";
  EXPECT_EQ(refusal_of(m_router.begin(number, unknown_caller, start)), refusal_kind::unknown_key);
  unknown_caller.key.reset();
  EXPECT_EQ(refusal_of(m_router.begin(number, unknown_caller, start)), refusal_kind::unknown_key);
}

TEST_F(routers, identify_the_customer_by_its_key) {
  receive_state({"a"});
  auto const made = begin("/once/x");
  ASSERT_TRUE(is_attempt(made));
  EXPECT_EQ(std::get<attempt>(made).customer, base::customer_id{"ann"});
}

TEST_F(routers, do_not_retry_at_most_once_requests_that_may_have_run) {
  for (auto const failure : {attempt_failure::broken, attempt_failure::malformed}) {
    receive_state({"a", "b"});
    ASSERT_TRUE(is_attempt(begin("/once/x")));
    auto const made = fail(failure);
    EXPECT_EQ(refusal_of(made), refusal_kind::outcome_unknown);
    // The request may have been executed, so the refusal must not suggest a retry.
    EXPECT_FALSE(std::get<refusal>(made).retry_after.has_value());
    m_router.end(number, start);
  }
}

TEST_F(routers, retry_requests_that_certainly_did_not_run) {
  for (auto const failure : {attempt_failure::unreachable, attempt_failure::not_executed,
                             attempt_failure::wrong_endpoint}) {
    routers::receive_state({"a", "b"});
    auto const first = begin("/once/x");
    ASSERT_TRUE(is_attempt(first));
    auto const second = fail(failure);
    ASSERT_TRUE(is_attempt(second)) << name_of(failure);
    m_router.end(number, start);
  }
}

// All endpoints of a service refuse connections. The caller must be told at once.
TEST_F(routers, do_not_retry_unreachable_endpoints) {
  receive_state({"a", "b"});
  ASSERT_TRUE(is_attempt(begin("/again/x")));
  ASSERT_TRUE(is_attempt(fail(attempt_failure::unreachable)));
  auto const made = fail(attempt_failure::unreachable);
  ASSERT_EQ(refusal_of(made), refusal_kind::not_run);
  EXPECT_TRUE(std::get<refusal>(made).retry_after.has_value());
}

TEST_F(routers, report_not_run_only_if_no_attempt_may_have_run) {
  receive_state({"a", "b"});
  ASSERT_TRUE(is_attempt(begin("/once/x")));
  ASSERT_TRUE(is_attempt(fail(attempt_failure::not_executed)));
  EXPECT_EQ(refusal_of(fail(attempt_failure::not_executed)), refusal_kind::not_run);
  m_router.end(number, start);
  ASSERT_TRUE(is_attempt(begin("/again/x")));
  ASSERT_TRUE(is_attempt(fail(attempt_failure::broken)));
  EXPECT_EQ(refusal_of(fail(attempt_failure::not_executed)), refusal_kind::outcome_unknown);
}

TEST_F(routers, respect_the_attempt_limit_of_the_route) {
  receive_state({"a", "b", "c"});
  ASSERT_TRUE(is_attempt(begin("/again/x")));
  auto const second = fail(attempt_failure::failed_answer);
  ASSERT_TRUE(is_attempt(second));
  EXPECT_EQ(std::get<attempt>(second).number, 2U);
  EXPECT_TRUE(std::holds_alternative<forward_failure>(fail(attempt_failure::failed_answer)));
}

TEST_F(routers, continue_only_resumable_streams) {
  receive_state({"a", "b"});
  ASSERT_TRUE(is_attempt(begin("/resume/x")));
  EXPECT_TRUE(is_attempt(fail(attempt_failure::broken, true)));
  m_router.end(number, start);
  ASSERT_TRUE(is_attempt(begin("/stream/x")));
  EXPECT_EQ(refusal_of(fail(attempt_failure::broken, true)), refusal_kind::outcome_unknown);
}

TEST_F(routers, make_no_attempt_that_would_end_after_the_deadline) {
  receive_state({"a", "b"});
  answer_one("/again/x", 10ms);
  answer_one("/once/x", 10ms);
  ASSERT_TRUE(is_attempt(begin("/again/x")));
  EXPECT_EQ(refusal_of(fail(attempt_failure::broken, false, 990ms)), refusal_kind::expired);
  m_router.end(number, start);
  ASSERT_TRUE(is_attempt(begin("/once/x")));
  EXPECT_EQ(refusal_of(fail(attempt_failure::unreachable, false, 990ms)),
            refusal_kind::expired_unsent);
}

// One attempt that ran out of time was taken for the fastest answer of its route, and all callers
// with as much time were refused from then on.
TEST_F(routers, try_again_with_as_much_time_as_an_attempt_ran_out_of) {
  receive_state({"a"});
  ASSERT_TRUE(is_attempt(begin("/once/x")));
  EXPECT_EQ(refusal_of(fail(attempt_failure::expired, false, 1s)), refusal_kind::expired);
  m_router.end(number, start + 1s);
  EXPECT_TRUE(is_attempt(m_router.begin(number, facts("/once/x"), start + 1s)));
}

TEST_F(routers, use_the_shorter_of_caller_and_route_timeout) {
  receive_state({"a"});
  auto const made = begin("/once/x");
  EXPECT_EQ(std::get<attempt>(made).deadline, start + 1s);
  m_router.end(number, start);
  auto long_request = facts("/once/x");
  long_request.caller_timeout = 30s;
  long_request.caller_timeout = 60s;
  auto const longer = m_router.begin(number, long_request, start);
  EXPECT_EQ(std::get<attempt>(longer).deadline, start + 30s);
}

TEST_F(routers, send_nothing_to_leaving_endpoints) {
  receive_state({"a", "b"});
  update received;
  received.state = {.document_revision = 1, .registry_term = 1, .registry_revision = 2};
  received.base_registry_revision = 1;
  endpoint_announcement const announcement{.id = {"a"},
                                           .service = {"s"},
                                           .is_leaving = true,
                                           .number = {.incarnation = 1, .sequence = 2}};
  received.endpoints = {
      {.announcement = announcement, .state = endpoint_state::leaving, .revision = 2}};
  ASSERT_TRUE(m_router.receive({"control"}, received, start).is_changed);
  for (request_number i = 1; i < 20; ++i) {
    auto const made = m_router.begin(i, facts("/once/x"), start);
    ASSERT_TRUE(is_attempt(made));
    EXPECT_EQ(std::get<attempt>(made).endpoint.value, "b");
  }
}

// An endpoint's error answer was at hand, and its caller was told of an unknown outcome because the
// next endpoint rejected the request.
TEST_F(routers, deliver_an_error_answer_if_the_next_endpoint_does_not_take_the_request) {
  receive_state({"a", "b"});
  for (auto const last : {attempt_failure::not_executed, attempt_failure::unreachable}) {
    ASSERT_TRUE(is_attempt(begin("/again/x")));
    ASSERT_TRUE(is_attempt(fail(attempt_failure::failed_answer)));
    EXPECT_TRUE(std::holds_alternative<forward_failure>(fail(last)));
    m_router.end(number, start);
  }
}

// An endpoint stops sending in the middle of a stream while its connection stays open.
TEST_F(routers, extend_the_stall_deadline_of_a_stream_on_each_event) {
  receive_state({"a", "b"});
  auto long_request = facts("/resume/x");
  long_request.caller_timeout = 30s;
  ASSERT_TRUE(is_attempt(m_router.begin(number, long_request, start)));
  ASSERT_FALSE(m_router.note_answer(number, std::nullopt, start + 100ms));
  m_router.note_events(number, 1, start + 500ms);
  // A sound endpoint may send nothing for some 2 s.
  EXPECT_EQ(m_router.stall_deadline(number), start + 2500ms);
  EXPECT_FALSE(try_replace_stalled(start + 2400ms));
  m_router.note_events(number, 1, start + 2400ms);
  EXPECT_FALSE(try_replace_stalled(start + 2500ms));
}

// Guards against a stalled stream that never ends, as its endpoint sends a byte now and then.
TEST_F(routers, do_not_take_bytes_without_an_event_for_progress) {
  receive_state({"a", "b"});
  auto long_request = facts("/resume/x");
  long_request.caller_timeout = 30s;
  ASSERT_TRUE(is_attempt(m_router.begin(number, long_request, start)));
  ASSERT_FALSE(m_router.note_answer(number, std::nullopt, start + 100ms));
  m_router.note_events(number, 1, start + 500ms);
  m_router.note_progress(number, start + 2900ms);
  m_router.note_events(number, 0, start + 2900ms);
  EXPECT_TRUE(try_replace_stalled(start + 3s));
}

// A model engine that runs short of memory interrupts sound streams for seconds.
TEST_F(routers, allow_a_stream_the_pauses_that_others_of_its_route_had) {
  receive_state({"a", "b"});
  auto long_request = facts("/resume/x");
  long_request.caller_timeout = 30s;
  ASSERT_TRUE(is_attempt(m_router.begin(number, long_request, start)));
  ASSERT_FALSE(m_router.note_answer(number, std::nullopt, start + 100ms));
  m_router.note_events(number, 1, start + 100ms);
  m_router.note_events(number, 1, start + 1900ms);
  m_router.note_completed(number, start + 1900ms);
  m_router.end(number, start + 1900ms);
  ASSERT_TRUE(is_attempt(m_router.begin(number, long_request, start)));
  ASSERT_FALSE(m_router.note_answer(number, std::nullopt, start + 100ms));
  m_router.note_events(number, 1, start + 100ms);
  EXPECT_FALSE(try_replace_stalled(start + 3700ms));
}

TEST_F(routers, replace_a_hanging_idempotent_request) {
  receive_state({"a", "b"});
  answer_one("/again/x", 130ms);
  ASSERT_TRUE(is_attempt(begin("/again/x")));
  EXPECT_FALSE(try_replace_stalled(start + 380ms));
  EXPECT_TRUE(try_replace_stalled(start + 390ms));
  m_router.accept_replacement(number, start + 390ms);
  // The route allows only two attempts.
  EXPECT_EQ(m_router.stall_deadline(number), std::nullopt);
}

// An attempt was given up although no other endpoint could take the request, which then failed.
TEST_F(routers, never_replace_an_attempt_that_no_other_endpoint_can_take) {
  receive_state({"a"});
  answer_one("/again/x", 130ms);
  ASSERT_TRUE(is_attempt(begin("/again/x")));
  EXPECT_FALSE(try_replace_stalled(start + 390ms));
}

// Where answers take a millisecond, a short pause of the instance itself was taken for a stall.
TEST_F(routers, never_replace_an_attempt_for_an_own_pause) {
  receive_state({"a", "b"});
  answer_one("/again/x", 1ms);
  ASSERT_TRUE(is_attempt(begin("/again/x")));
  EXPECT_FALSE(try_replace_stalled(start + 100ms));
  EXPECT_TRUE(try_replace_stalled(start + 101ms));
}

TEST_F(routers, never_replace_attempts_of_at_most_once_requests) {
  receive_state({"a", "b"});
  ASSERT_TRUE(is_attempt(begin("/once/x")));
  EXPECT_EQ(m_router.stall_deadline(number), std::nullopt);
  m_router.end(number, start);
  ASSERT_TRUE(is_attempt(begin("/stream/x")));
  EXPECT_EQ(m_router.stall_deadline(number), std::nullopt);
}

// A prompt is queued on a busy endpoint that still sends events on other requests.
TEST_F(routers, wait_for_a_busy_endpoint_that_serves_other_requests) {
  receive_state({"a"});
  answer_one("/resume/x", 300ms);
  auto long_request = facts("/resume/x");
  long_request.caller_timeout = 30s;
  ASSERT_TRUE(is_attempt(m_router.begin(number, long_request, start)));
  ASSERT_TRUE(is_attempt(m_router.begin(number + 1, long_request, start)));
  EXPECT_EQ(m_router.stall_deadline(number), start + 2s);
  m_router.note_progress(number + 1, start + 1900ms);
  EXPECT_EQ(m_router.stall_deadline(number), start + 3900ms);
}

} // namespace

} // namespace catkinlanding::proxy
