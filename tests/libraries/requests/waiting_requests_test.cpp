#include <libraries/catalogue/json.h>
#include <libraries/requests/table.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace catkinlanding::requests {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{1h};

constexpr char const* catalogue_text = R"({
  "customers": [{"id": "guild", "owner": "ops", "class": "interactive", "keys": ["guild-key"],
                 "allow": [{"model": "hatline"}, {"model": "feltline"}], "services": ["stock"]}],
  "services": [{"id": "stock", "owner": "ops", "class": "interactive", "idempotent": true}],
  "classes": [{"id": "interactive", "owner": "ops", "class": "interactive", "deadline_ms": 10000},
              {"id": "report", "owner": "ops", "class": "report", "priority": 5,
               "deadline_ms": 10000}],
  "models": [{"id": "hatline", "owner": "ops", "class": "interactive"},
             {"id": "feltline", "owner": "ops", "class": "interactive"}],
  "versions": [{"model": "hatline", "id": "small", "owner": "ops", "class": "interactive"},
               {"model": "hatline", "id": "large", "owner": "ops", "class": "interactive"},
               {"model": "feltline", "id": "small", "owner": "ops", "class": "interactive"}]
})";

catalogue::document make_document() {
  catalogue::document document;
  catalogue::change change;
  change.upserts = catalogue::parse_entries(catalogue_text).value();
  document.apply(change);
  return document;
}

endpoints::directory make_directory() {
  endpoints::directory directory{{.started_at = start}};
  endpoints::effects ignored;
  directory.announce({.endpoint = {"engine"},
                      .incarnation = 1,
                      .sequence = 1,
                      .address = {.ip = "127.0.0.1", .port = 1},
                      .versions = {{{"hatline"}, {"small"}}, {{"hatline"}, {"large"}}}},
                     start, ignored);
  return directory;
}

/// Sends everything to one endpoint, as long as that has room. It always has room for feltline.
class one_endpoint final : public routing::policy {
public:
  tl::expected<routing::choice, routing::choice_error>
  choose(routing::version_query const& query, routing::routing_context const& /*context*/,
         base::monotonic_time /*now*/) override {
    bool const needs_slot = query.model.value == "hatline";
    if (needs_slot && free_slots == 0) {
      return tl::unexpected(routing::choice_error::busy);
    }
    free_slots -= needs_slot ? 1 : 0;
    return routing::choice{.model = query.model,
                           .version = query.version.value_or(base::version_id{"small"}),
                           .endpoint = {"engine"},
                           .escalates_to =
                               query.version ? base::version_id{} : base::version_id{"large"}};
  }

  tl::expected<base::endpoint_id, routing::choice_error> choose_service_endpoint(
      base::service_id const& /*service*/, std::set<base::endpoint_id> const& /*excluded*/,
      routing::routing_context const& /*context*/, base::monotonic_time /*now*/) override {
    return base::endpoint_id{"engine"};
  }

  std::uint32_t free_slots = 0;
};

class waiting_requests : public testing::Test {
protected:
  waiting_requests() {
    // The work of the class is known, and one request of it runs all the time.
    m_policy.free_slots = 1;
    send(1);
    m_now += work;
    answer(m_attempts.back());
    reduce(answer_evaluated{.number = 1, .judgement = routing::judgement::good});
    m_policy.free_slots = 1;
    send(2, 1h);
    m_effects.clear();
  }

  void send(request_number number, std::optional<base::duration> deadline = std::nullopt,
            std::optional<base::class_id> request_class = std::nullopt,
            base::duration waited = {}) {
    caller_request request;
    request.number = number;
    request.customer_key = "guild-key";
    request.target = m_target;
    request.body = std::make_shared<std::string const>();
    request.deadline = deadline;
    request.request_class = std::move(request_class);
    request.waited = waited;
    reduce(request);
  }

  void answer(attempt_number attempt, std::uint32_t status = 200) {
    reduce(attempt_head{.attempt = attempt, .status = status});
    reduce(attempt_finished{attempt});
  }

  void pass(base::duration time) {
    m_now += time;
    effects out;
    m_table.tick(environment_now(), m_now, out);
    record(out);
  }

  void reduce(event const& event) {
    effects out;
    m_table.reduce(event, environment_now(), m_now, out);
    record(out);
  }

  template<class Effect>
  [[nodiscard]] std::vector<Effect> all() const {
    std::vector<Effect> found;
    for (auto const& effect : m_effects) {
      if (auto const* one = std::get_if<Effect>(&effect)) {
        found.push_back(*one);
      }
    }
    return found;
  }

  static constexpr base::duration work = 2s;
  static constexpr base::duration class_deadline = 10s;
  request_target m_target = completion_target{{"hatline"}};
  base::monotonic_time m_now = start;
  one_endpoint m_policy;
  bool m_are_bills_replicated = true;
  std::vector<attempt_number> m_attempts;
  effects m_effects;

private:
  [[nodiscard]] environment environment_now() {
    return {.document = m_document,
            .has_lease = true,
            .directory = m_directory,
            .chooser = m_policy,
            .admission = &m_admission,
            .has_rating_service = true};
  }

  void record(effects const& out) {
    for (auto const& effect : out) {
      if (auto const* sent = std::get_if<dispatch>(&effect)) {
        m_attempts.push_back(sent->attempt);
      }
      auto const* charged = std::get_if<charge>(&effect);
      if (charged != nullptr && m_are_bills_replicated) {
        reduce(bill_replicated{charged->bill.request});
      }
      m_effects.push_back(effect);
    }
  }

  catalogue::document m_document = make_document();
  endpoints::directory m_directory = make_directory();
  limits::admission m_admission{{}};
  table m_table{{.self = {"entry"}, .incarnation = 1}};
};

// Only the first of the queue was looked at; one behind it waited for its deadline.
TEST_F(waiting_requests, are_refused_as_soon_as_their_work_no_longer_fits) {
  send(3, 1h);
  send(4);
  pass(class_deadline - work);
  EXPECT_TRUE(all<reply_failure>().empty());
  pass(1ms);
  auto const failures = all<reply_failure>();
  ASSERT_EQ(failures.size(), 1U);
  EXPECT_EQ(failures.front().number, 4U);
  EXPECT_EQ(failures.front().failure.run_state, run_state::not_run);
}

// The better answer was started although it would have come too late, or the deadline passed.
TEST_F(waiting_requests, get_their_held_answer_as_soon_as_a_better_one_no_longer_fits) {
  m_policy.free_slots = 1;
  send(3);
  m_now += work;
  answer(m_attempts.back());
  ASSERT_EQ(all<evaluate_answer>().size(), 1U);
  reduce(answer_evaluated{.number = 3, .judgement = routing::judgement::poor});
  EXPECT_TRUE(all<reply_end>().empty());
  pass(class_deadline - 2 * work);
  EXPECT_TRUE(all<reply_end>().empty());
  pass(1ms);
  EXPECT_EQ(all<reply_end>().size(), 1U);
}

// The answer was held back until the deadline.
TEST_F(waiting_requests, get_their_held_answer_when_its_judgement_comes_too_late) {
  m_policy.free_slots = 1;
  send(3);
  m_now += work;
  answer(m_attempts.back());
  pass(class_deadline - 2 * work);
  EXPECT_TRUE(all<reply_end>().empty());
  pass(1ms);
  EXPECT_EQ(all<reply_end>().size(), 1U);
}

// A request waited behind one for another model, although the endpoints of its own had room.
TEST_F(waiting_requests, wait_only_for_endpoints_of_their_own_model) {
  send(3);
  ASSERT_TRUE(all<dispatch>().empty());
  m_target = completion_target{{"feltline"}};
  send(4);
  EXPECT_EQ(all<dispatch>().size(), 1U);
}

// A retry started before anything that waited, whatever its priority.
TEST_F(waiting_requests, wait_for_their_turn_with_a_retry_too) {
  m_policy.free_slots = 1;
  send(3, 1h, base::class_id{"report"});
  send(4);
  m_policy.free_slots = 1;
  reduce(attempt_failed{m_attempts.back(), attempt_failure_kind::refused});
  ASSERT_EQ(all<dispatch>().size(), 2U);
  EXPECT_EQ(all<dispatch>().back().priority, 0U);
}

// A retry was started although it could not end in time.
TEST_F(waiting_requests, are_refused_a_retry_that_their_first_attempt_would_be_refused) {
  m_policy.free_slots = 1;
  send(3);
  m_now += class_deadline - work + 1ms;
  send(4, work - 1ms);
  ASSERT_EQ(all<reply_failure>().size(), 1U);
  m_policy.free_slots = 1;
  reduce(attempt_failed{m_attempts.back(), attempt_failure_kind::refused});
  auto const failures = all<reply_failure>();
  ASSERT_EQ(failures.size(), 2U);
  EXPECT_EQ(failures[1].failure.kind, failures[0].failure.kind);
  EXPECT_EQ(failures[1].failure.run_state, failures[0].failure.run_state);
  EXPECT_EQ(failures[1].failure.retry_after, failures[0].failure.retry_after);
}

TEST_F(waiting_requests, are_not_said_not_to_have_run_when_a_retry_is_refused) {
  m_policy.free_slots = 1;
  send(3);
  m_now += class_deadline - work + 1ms;
  reduce(attempt_failed{m_attempts.back(), attempt_failure_kind::broken});
  ASSERT_EQ(all<reply_failure>().size(), 1U);
  EXPECT_EQ(all<reply_failure>().front().failure.run_state, run_state::outcome_unknown);
}

// Guards against an answer that is billed twice, and a process that ends, when a judgement arrives
// while the end of the answer waits for its bill.
TEST_F(waiting_requests, get_their_held_answer_once) {
  m_policy.free_slots = 1;
  send(3);
  m_now += work;
  answer(m_attempts.back());
  m_are_bills_replicated = false;
  pass(class_deadline - 2 * work + 1ms);
  ASSERT_EQ(all<charge>().size(), 1U);
  auto const id = all<charge>().front().bill.request;
  reduce(answer_evaluated{.number = 3, .judgement = routing::judgement::good});
  EXPECT_EQ(all<charge>().size(), 1U);
  reduce(bill_replicated{id});
  reduce(bill_replicated{id});
  EXPECT_EQ(all<reply_end>().size(), 1U);
}

// Guards against a whole answer that is dropped for the rejection of a better version: its endpoint
// was asked for more than it takes, or could not read the request.
TEST_F(waiting_requests, get_their_held_answer_when_the_better_version_rejects_them) {
  for (std::uint32_t const status : {400U, 413U, 429U}) {
    m_effects.clear();
    m_policy.free_slots = 2;
    send(status);
    answer(m_attempts.back());
    reduce(answer_evaluated{.number = status, .judgement = routing::judgement::poor});
    ASSERT_EQ(all<dispatch>().size(), 2U);
    answer(m_attempts.back(), status);
    ASSERT_EQ(all<reply_head>().size(), 1U);
    EXPECT_EQ(all<reply_head>().front().status, 200U);
    EXPECT_EQ(all<reply_head>().front().version.value, "small");
    EXPECT_EQ(all<reply_end>().size(), 1U);
  }
}

// Guards against a whole answer that its caller never sees: it was held back until the deadline,
// for a better version that did not answer, and its end then waited for its bill.
TEST_F(waiting_requests,
       get_their_held_answer_before_their_deadline_while_a_better_one_is_under_way) {
  m_policy.free_slots = 2;
  send(3);
  m_now += work;
  answer(m_attempts.back());
  reduce(answer_evaluated{.number = 3, .judgement = routing::judgement::poor});
  ASSERT_EQ(all<dispatch>().size(), 2U);
  m_are_bills_replicated = false;
  auto const deadline = m_now - work + class_deadline;
  pass(class_deadline - 2 * work);
  EXPECT_TRUE(all<reply_end>().empty());
  while (m_now < deadline) {
    pass(20ms);
  }
  EXPECT_EQ(all<reply_end>().size(), 1U);
  EXPECT_EQ(all<cancel_attempt>().size(), 1U);
}

// Guards against requests that are refused with time left while an endpoint has room, because three
// others were leaving or full: a rejection used up an attempt.
TEST_F(waiting_requests, are_sent_on_until_an_endpoint_takes_them) {
  constexpr std::uint32_t endpoints = 20;
  m_policy.free_slots = endpoints;
  send(3);
  for (std::uint32_t i = 1; i < endpoints; ++i) {
    reduce(attempt_failed{m_attempts.back(), attempt_failure_kind::refused});
  }
  EXPECT_EQ(all<dispatch>().size(), endpoints);
  EXPECT_TRUE(all<reply_failure>().empty());
}

// Work that may have run is bounded by attempts, whatever was rejected in between.
TEST_F(waiting_requests, run_no_more_often_for_rejections_in_between) {
  m_policy.free_slots = 20;
  send(3);
  for (int i = 0; i < 3; ++i) {
    reduce(attempt_failed{m_attempts.back(), attempt_failure_kind::refused});
    reduce(attempt_failed{m_attempts.back(), attempt_failure_kind::broken});
  }
  EXPECT_EQ(all<reply_failure>().size(), 1U);
}

// A caller whose time is over was told to come back in a second.
TEST_F(waiting_requests, are_told_no_time_when_theirs_is_over) {
  m_policy.free_slots = 1;
  send(3);
  pass(class_deadline);
  ASSERT_EQ(all<reply_failure>().size(), 1U);
  EXPECT_EQ(all<reply_failure>().front().failure.kind, failure_kind::deadline_passed);
  EXPECT_FALSE(all<reply_failure>().front().failure.retry_after.has_value());
}

// The time in which a body came did not count, and a caller waited as much longer.
TEST_F(waiting_requests, have_less_time_after_a_slow_body) {
  m_policy.free_slots = 1;
  send(3, class_deadline, std::nullopt, class_deadline - work);
  pass(work);
  ASSERT_EQ(all<reply_failure>().size(), 1U);
  EXPECT_EQ(all<reply_failure>().front().failure.kind, failure_kind::deadline_passed);
  send(4, class_deadline, std::nullopt, class_deadline - work + 1ms);
  EXPECT_EQ(all<reply_failure>().size(), 2U);
}

// A call was sent to its service though its caller's time had passed while the body came.
TEST_F(waiting_requests, are_not_sent_after_a_body_that_took_all_their_time) {
  m_target = service_target{.service = {"stock"}, .method = "GET", .path = "/"};
  auto const attempts = m_attempts.size();
  send(3, class_deadline, std::nullopt, class_deadline);
  EXPECT_EQ(m_attempts.size(), attempts);
  ASSERT_EQ(all<reply_failure>().size(), 1U);
  EXPECT_EQ(all<reply_failure>().front().failure.run_state, run_state::not_run);
}

// The work of a class whose attempts all ran out of time was known from those that had not.
TEST_F(waiting_requests, are_refused_when_attempts_with_more_time_ran_out_of_it) {
  constexpr request_number attempts = 40;
  for (request_number number = 3; number < 3 + attempts; ++number) {
    m_policy.free_slots = 1;
    send(number);
    pass(class_deadline);
  }
  m_effects.clear();
  send(100, class_deadline / 2);
  EXPECT_EQ(all<reply_failure>().size(), 1U);
}

// Calls of a service counted as work of the endpoints that requests wait for.
TEST_F(waiting_requests, learn_nothing_from_calls_that_do_not_wait) {
  constexpr request_number calls = 100;
  m_target = service_target{.service = {"stock"}, .method = "GET", .path = "/"};
  for (request_number number = 3; number < 3 + calls; ++number) {
    send(number);
    answer(m_attempts.back());
  }
  m_effects.clear();
  m_target = completion_target{{"hatline"}};
  send(200, work - 1ms);
  EXPECT_EQ(all<reply_failure>().size(), 1U);
}

} // namespace

} // namespace catkinlanding::requests
