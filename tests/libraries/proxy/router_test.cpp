#include <libraries/proxy/router.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{};
constexpr request_number number = 1;

class routers : public ::testing::Test {
protected:
  routers() : m_router(options()) {}

  static router::options options() {
    router::options made;
    made.zone = {"here"};
    made.subscriber = {.self = {"entry"}, .seeds = {{"control"}}};
    made.retries = {.ratio = 0.5, .slack = 100};
    return made;
  }

  static route make_route(std::string prefix, route_kind kind, std::uint32_t attempts) {
    route made;
    made.name = prefix;
    made.host = "h";
    made.path_prefix = std::move(prefix);
    made.kind = kind;
    made.shares = {{.service = {"s"}, .weight = 1}};
    made.timeout = 30s;
    made.target_latency = 300ms;
    made.target_pause = 1s;
    made.most_attempts = attempts;
    return made;
  }

  void learn(std::vector<std::string> const& endpoints) {
    update told;
    told.state = {.document_revision = 1, .registry_term = 1, .registry_revision = 1};
    told.document.emplace();
    told.document->revision = 1;
    told.document->services = {{.id = {"s"}}};
    told.document->customers = {{.id = {"ann"}, .keys = {"key"}}};
    told.document->routes = {make_route("/once/", route_kind::at_most_once, 3),
                             make_route("/again/", route_kind::idempotent, 2),
                             make_route("/stream/", route_kind::stream, 3),
                             make_route("/resume/", route_kind::resumable_stream, 3)};
    for (auto const& id : endpoints) {
      endpoint_word const word{.id = {id},
                               .service = {"s"},
                               .address = {.ip = "10.0.0.1", .port = 80},
                               .zone = {"here"},
                               .number = {.incarnation = 1, .sequence = 1}};
      told.endpoints.push_back({.word = word, .state = endpoint_state::ready, .revision = 1});
    }
    ASSERT_TRUE(m_router.receive({"control"}, told, start).is_changed);
  }

  static request_facts facts(std::string path) {
    request_facts made;
    made.id = {"request"};
    made.host = "h";
    made.path = std::move(path);
    made.key = "key";
    made.patience = 1s;
    return made;
  }

  [[nodiscard]] decision begin(std::string path) {
    return m_router.begin(number, facts(std::move(path)), start);
  }

  [[nodiscard]] decision fail(attempt_failure failure, bool was_delivered = false,
                              base::duration after = 10ms) {
    return m_router.fail(number, failure, was_delivered, start + after);
  }

  static bool is_attempt(decision const& made) { return std::holds_alternative<attempt>(made); }

  static refusal_kind refusal_of(decision const& made) {
    auto const* refused = std::get_if<refusal>(&made);
    return refused == nullptr ? refusal_kind{} : refused->kind;
  }

  router m_router;
};

TEST_F(routers, refuse_truthfully_before_they_know_anything) {
  EXPECT_FALSE(m_router.is_ready());
  auto const made = begin("/once/x");
  ASSERT_EQ(refusal_of(made), refusal_kind::no_document);
  EXPECT_TRUE(std::get<refusal>(made).retry_after.has_value());
}

// The pattern: all instances are killed at once, and their callers come back before the control
// instances have a leader. Each caller returns a few times only, so a refusal is often the last.
TEST_F(routers, let_requests_wait_for_the_first_document_of_a_start) {
  auto patient = facts("/once/x");
  patient.patience = 25s;
  EXPECT_EQ(m_router.wait_for_state(patient, start), std::nullopt);
  std::ignore = m_router.tick(start);
  auto const end = m_router.wait_for_state(patient, start + 100ms);
  ASSERT_TRUE(end.has_value());
  EXPECT_LE(*end, start + 3s);
  EXPECT_EQ(m_router.wait_for_state(patient, *end), std::nullopt);
  learn({"a"});
  EXPECT_EQ(m_router.wait_for_state(patient, start + 100ms), std::nullopt);
}

// The pattern: the new leader knows no endpoint before these announce themselves to it.
TEST_F(routers, let_requests_wait_for_the_first_endpoint_of_a_start) {
  std::ignore = m_router.tick(start);
  learn({});
  auto patient = facts("/once/x");
  patient.patience = 25s;
  EXPECT_TRUE(m_router.wait_for_state(patient, start + 100ms).has_value());
  EXPECT_EQ(m_router.wait_for_state(facts("/nowhere/x"), start + 100ms), std::nullopt);
}

TEST_F(routers, name_the_route_and_customer_of_a_request_that_was_never_sent) {
  learn({});
  auto const made = begin("/once/x");
  ASSERT_EQ(refusal_of(made), refusal_kind::no_endpoint);
  EXPECT_EQ(std::get<refusal>(made).route, "/once/");
  EXPECT_EQ(std::get<refusal>(made).customer, base::customer_id{"ann"});
}

TEST_F(routers, let_requests_wait_for_a_part_of_their_own_time) {
  std::ignore = m_router.tick(start);
  auto hurried = facts("/once/x");
  EXPECT_EQ(m_router.wait_for_state(hurried, start + 100ms), start + 600ms);
  hurried.waited = 500ms;
  EXPECT_EQ(m_router.wait_for_state(hurried, start + 600ms), std::nullopt);
}

TEST_F(routers, count_the_time_that_a_request_has_waited) {
  learn({"a"});
  auto waited = facts("/once/x");
  waited.waited = 600ms;
  auto const made = m_router.begin(number, waited, start + 600ms);
  ASSERT_TRUE(is_attempt(made));
  EXPECT_EQ(std::get<attempt>(made).deadline, start + 1s);
  waited.waited = 1s;
  EXPECT_EQ(refusal_of(m_router.begin(number + 1, waited, start + 1s)),
            refusal_kind::expired_unsent);
}

// The pattern: a zone is cut off, and an instance in it starts anew. Its callers can be served by
// what the zone's control instance held last.
TEST_F(routers, serve_by_the_last_known_state_where_no_leader_is_found) {
  last_known_state state;
  state.document = {.revision = 3,
                    .routes = {make_route("/once/", route_kind::at_most_once, 1)},
                    .services = {{.id = {"s"}}}};
  endpoint_word const word{.id = {"a"}, .service = {"s"}, .zone = {"here"}};
  state.endpoints = {{.word = word}};
  std::ignore = m_router.tick(start);
  EXPECT_FALSE(m_router.receive({"control"}, state, start + 500ms).is_changed);
  EXPECT_FALSE(m_router.is_ready());
  EXPECT_TRUE(m_router.receive({"control"}, state, start + 1s).is_changed);
  EXPECT_TRUE(is_attempt(begin("/once/x")));
  state.document.revision = 2;
  EXPECT_FALSE(m_router.receive({"control"}, state, start + 2s).is_changed);
  EXPECT_EQ(m_router.document_revision(), 3U);
}

TEST_F(routers, refuse_what_the_document_does_not_allow) {
  learn({"a"});
  EXPECT_EQ(refusal_of(begin("/nowhere/x")), refusal_kind::unknown_route);
  auto stranger = facts("/once/x");
  stranger.key = "other";
  EXPECT_EQ(refusal_of(m_router.begin(number, stranger, start)), refusal_kind::unknown_key);
  stranger.key.reset();
  EXPECT_EQ(refusal_of(m_router.begin(number, stranger, start)), refusal_kind::unknown_key);
}

TEST_F(routers, name_the_customer_that_holds_the_key) {
  learn({"a"});
  auto const made = begin("/once/x");
  ASSERT_TRUE(is_attempt(made));
  EXPECT_EQ(std::get<attempt>(made).customer, base::customer_id{"ann"});
}

TEST_F(routers, run_a_request_that_is_not_repeatable_once_at_most) {
  for (auto const failure : {attempt_failure::broken, attempt_failure::malformed}) {
    learn({"a", "b"});
    ASSERT_TRUE(is_attempt(begin("/once/x")));
    auto const made = fail(failure);
    EXPECT_EQ(refusal_of(made), refusal_kind::outcome_unknown);
    // It may have run, so nothing says that it did not.
    EXPECT_FALSE(std::get<refusal>(made).retry_after.has_value());
    m_router.end(number);
  }
}

TEST_F(routers, send_on_what_surely_did_not_run) {
  for (auto const failure : {attempt_failure::unreachable, attempt_failure::not_executed,
                             attempt_failure::wrong_endpoint}) {
    routers::learn({"a", "b"});
    auto const first = begin("/once/x");
    ASSERT_TRUE(is_attempt(first));
    auto const second = fail(failure);
    ASSERT_TRUE(is_attempt(second)) << name_of(failure);
    m_router.end(number);
  }
}

// Every endpoint of a service refuses connections: its callers must hear of it at once.
TEST_F(routers, try_no_endpoint_twice_that_was_not_reached) {
  learn({"a", "b"});
  ASSERT_TRUE(is_attempt(begin("/again/x")));
  ASSERT_TRUE(is_attempt(fail(attempt_failure::unreachable)));
  auto const made = fail(attempt_failure::unreachable);
  ASSERT_EQ(refusal_of(made), refusal_kind::not_run);
  EXPECT_TRUE(std::get<refusal>(made).retry_after.has_value());
}

TEST_F(routers, say_not_run_only_if_no_attempt_may_have_run) {
  learn({"a", "b"});
  ASSERT_TRUE(is_attempt(begin("/once/x")));
  ASSERT_TRUE(is_attempt(fail(attempt_failure::not_executed)));
  EXPECT_EQ(refusal_of(fail(attempt_failure::not_executed)), refusal_kind::not_run);
  m_router.end(number);
  ASSERT_TRUE(is_attempt(begin("/again/x")));
  ASSERT_TRUE(is_attempt(fail(attempt_failure::broken)));
  EXPECT_EQ(refusal_of(fail(attempt_failure::not_executed)), refusal_kind::outcome_unknown);
}

TEST_F(routers, keep_to_the_attempts_of_the_route) {
  learn({"a", "b", "c"});
  ASSERT_TRUE(is_attempt(begin("/again/x")));
  auto const second = fail(attempt_failure::failed_answer);
  ASSERT_TRUE(is_attempt(second));
  EXPECT_EQ(std::get<attempt>(second).number, 2U);
  EXPECT_TRUE(std::holds_alternative<deliver_failure>(fail(attempt_failure::failed_answer)));
}

TEST_F(routers, continue_only_streams_that_can_be_continued) {
  learn({"a", "b"});
  ASSERT_TRUE(is_attempt(begin("/resume/x")));
  EXPECT_TRUE(is_attempt(fail(attempt_failure::broken, true)));
  m_router.end(number);
  ASSERT_TRUE(is_attempt(begin("/stream/x")));
  EXPECT_EQ(refusal_of(fail(attempt_failure::broken, true)), refusal_kind::outcome_unknown);
}

TEST_F(routers, make_no_attempt_behind_the_deadline) {
  learn({"a", "b"});
  ASSERT_TRUE(is_attempt(begin("/again/x")));
  EXPECT_EQ(refusal_of(fail(attempt_failure::broken, false, 990ms)), refusal_kind::expired);
  m_router.end(number);
  ASSERT_TRUE(is_attempt(begin("/once/x")));
  EXPECT_EQ(refusal_of(fail(attempt_failure::unreachable, false, 990ms)),
            refusal_kind::expired_unsent);
}

TEST_F(routers, give_an_answer_the_shorter_of_both_times) {
  learn({"a"});
  auto const made = begin("/once/x");
  EXPECT_EQ(std::get<attempt>(made).deadline, start + 1s);
  m_router.end(number);
  auto patient = facts("/once/x");
  patient.patience = 30s;
  patient.patience = 60s;
  auto const longer = m_router.begin(number, patient, start);
  EXPECT_EQ(std::get<attempt>(longer).deadline, start + 30s);
}

TEST_F(routers, send_nothing_to_endpoints_that_leave) {
  learn({"a", "b"});
  update told;
  told.state = {.document_revision = 1, .registry_term = 1, .registry_revision = 2};
  told.registry_base = 1;
  endpoint_word const word{.id = {"a"},
                           .service = {"s"},
                           .is_leaving = true,
                           .number = {.incarnation = 1, .sequence = 2}};
  told.endpoints.push_back({.word = word, .state = endpoint_state::leaving, .revision = 2});
  ASSERT_TRUE(m_router.receive({"control"}, told, start).is_changed);
  for (request_number i = 1; i < 20; ++i) {
    auto const made = m_router.begin(i, facts("/once/x"), start);
    ASSERT_TRUE(is_attempt(made));
    EXPECT_EQ(std::get<attempt>(made).endpoint.value, "b");
  }
}

// An engine falls silent in the middle of a stream, with its connection open.
TEST_F(routers, take_a_silent_stream_to_another_endpoint) {
  learn({"a", "b"});
  auto patient = facts("/resume/x");
  patient.patience = 30s;
  ASSERT_TRUE(is_attempt(m_router.begin(number, patient, start)));
  ASSERT_TRUE(m_router.note_answer(number, std::nullopt, start + 100ms));
  m_router.note_progress(number, start + 500ms);
  EXPECT_EQ(m_router.stall_time(number), start + 3s);
  EXPECT_FALSE(m_router.claim_stall(number, start + 2900ms));
  m_router.note_progress(number, start + 2900ms);
  EXPECT_FALSE(m_router.claim_stall(number, start + 3s));
}

TEST_F(routers, break_off_an_idempotent_request_that_hangs) {
  learn({"a", "b"});
  ASSERT_TRUE(is_attempt(begin("/again/x")));
  EXPECT_TRUE(m_router.claim_stall(number, start + 390ms));
  auto const next = fail(attempt_failure::stalled, false, 390ms);
  ASSERT_TRUE(is_attempt(next));
  // The route allows no third attempt.
  EXPECT_EQ(m_router.stall_time(number), std::nullopt);
}

TEST_F(routers, never_break_off_what_may_run_once_only) {
  learn({"a", "b"});
  ASSERT_TRUE(is_attempt(begin("/once/x")));
  EXPECT_EQ(m_router.stall_time(number), std::nullopt);
  m_router.end(number);
  ASSERT_TRUE(is_attempt(begin("/stream/x")));
  EXPECT_EQ(m_router.stall_time(number), std::nullopt);
}

// Prompts wait at a busy engine that goes on making events for others.
TEST_F(routers, wait_for_an_endpoint_that_answers_others) {
  learn({"a"});
  auto patient = facts("/resume/x");
  patient.patience = 30s;
  ASSERT_TRUE(is_attempt(m_router.begin(number, patient, start)));
  ASSERT_TRUE(is_attempt(m_router.begin(number + 1, patient, start)));
  EXPECT_EQ(m_router.stall_time(number), start + 2s);
  m_router.note_progress(number + 1, start + 1900ms);
  EXPECT_EQ(m_router.stall_time(number), start + 3900ms);
}

TEST_F(routers, keep_what_is_known_while_the_control_instances_are_away) {
  learn({"a"});
  EXPECT_TRUE(m_router.is_connected(start));
  static_cast<void>(m_router.tick(start + 10s));
  EXPECT_FALSE(m_router.is_connected(start + 10s));
  EXPECT_TRUE(m_router.is_ready());
  EXPECT_TRUE(is_attempt(m_router.begin(number, facts("/once/x"), start + 10s)));
}

} // namespace

} // namespace catkinlanding::proxy
