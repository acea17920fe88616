#include <tests/support/router_fixture.h>

#include <rapidcheck/gtest.h>

#include <set>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr double doubtful = 0.3;
constexpr std::chrono::hours drafts_timeout{2};

/// A router whose route has a small and a large model.
class escalations : public routers {
protected:
  escalations() {
    update received;
    received.state = {.document_revision = 1, .registry_term = 1, .registry_revision = 1};
    received.document.emplace();
    received.document->revision = 1;
    received.document->services = {{.id = {"s"}, .slots = 8}};
    auto drafts = make_route("/drafts/", route_kind::resumable_stream, 3);
    drafts.timeout = drafts_timeout;
    drafts.target_latency = 3s;
    drafts.models = {{"small"}, {"large"}};
    auto orders = drafts;
    orders.name = orders.path_prefix = "/orders/";
    orders.kind = route_kind::at_most_once;
    received.document->routes = {drafts, orders};
    received.endpoints = ready_endpoints({"a", "b", "c"});
    std::ignore = m_router.receive({"control"}, received, start);
  }

  static request_facts draft(base::duration time_left) {
    auto made = facts("/drafts/x");
    made.caller_timeout = time_left;
    made.prompt_tokens = 1000;
    return made;
  }

  /// Whether the largest model is asked to replace the answer of the small one.
  bool is_escalated(request_number request, base::duration time_left) {
    RC_ASSERT(is_attempt(m_router.begin(request, draft(time_left), start)));
    return m_router.note_answer(request, doubtful, start).has_value();
  }

  /// The prompt work that this instance reports to the others.
  std::uint64_t reported_pending_work() {
    std::uint64_t work = 0;
    for (auto const& sent : m_router.tick(start + 1s)) {
      if (auto const* report = std::get_if<subscription>(&sent.message)) {
        for (auto const& load : report->loads) {
          work += load.pending_work;
        }
      }
    }
    return work;
  }

  /// Shows that whole answers of the largest model take so long.
  void answer_with_largest_model(base::duration took) {
    constexpr request_number other = 1000;
    RC_ASSERT(is_escalated(other, 1h));
    m_router.accept_replacement(other, start);
    RC_ASSERT(!m_router.note_answer(other, doubtful, start));
    m_router.note_completed(other, start + took);
    m_router.end(other, start + took);
  }
};

} // namespace

// An answer was discarded for one of an endpoint that wanted no requests, and its caller got none.
TEST_F(escalations, need_an_endpoint_that_accepts_the_request) {
  base::endpoint_id const kept{"a"};
  std::set<base::endpoint_id> paused;
  request_number last = 1;
  while (paused.size() < 2) {
    auto const sent = m_router.begin(++last, draft(1h), start);
    ASSERT_TRUE(is_attempt(sent));
    auto const& endpoint = std::get<attempt>(sent).endpoint;
    if (endpoint != kept) {
      std::ignore = m_router.note_notice(last, {.pause = 10s}, start);
      paused.insert(endpoint);
    }
    m_router.end(last, start);
  }
  ASSERT_TRUE(is_attempt(m_router.begin(1, draft(1h), start)));
  EXPECT_FALSE(m_router.note_answer(1, doubtful, start));
}

/// Guards against an answer in hand that is thrown away for one that comes too late, and against
/// one that is kept although the better one fits.
RC_GTEST_FIXTURE_PROP(escalations, happen_if_the_whole_answer_fits_the_time_left, ()) {
  auto const work = std::chrono::milliseconds(*rc::gen::inRange(1, 20'000));
  answer_with_largest_model(work);
  auto const left = std::chrono::milliseconds(*rc::gen::inRange(40, 40'000));
  RC_ASSERT(is_escalated(number, left) == (left >= work));
}

// Guards against the small model's answer as the last one where no second run may follow, however
// doubtful it is, although the largest model's answer would fit the time left.
RC_GTEST_FIXTURE_PROP(escalations, give_way_to_the_largest_model_where_one_run_is_allowed, ()) {
  auto const work = std::chrono::milliseconds(*rc::gen::inRange(1, 20'000));
  auto const left = std::chrono::milliseconds(*rc::gen::inRange(40, 40'000));
  auto order = draft(1h);
  order.path = "/orders/x";
  constexpr request_number first = 2;
  auto const sent = m_router.begin(first, order, start);
  RC_ASSERT(std::get<attempt>(sent).model == base::model_id{"large"});
  RC_ASSERT(!m_router.note_answer(first, doubtful, start));
  m_router.note_completed(first, start + work);
  m_router.end(first, start + work);
  order.caller_timeout = left;
  auto const second = m_router.begin(first + 1, order, start);
  auto const* made = std::get_if<attempt>(&second);
  RC_ASSERT(made != nullptr);
  RC_ASSERT(made->model == base::model_id{left >= work ? "large" : "small"});
}

// An answer was discarded for one of the largest model, whose endpoint then rejected the request,
// and its caller got none.
TEST_F(escalations, keep_the_answer_until_the_other_endpoint_accepts_the_request) {
  ASSERT_TRUE(is_escalated(number, 1h));
  m_router.fail_replacement(number, attempt_failure::not_executed, start + 10ms);
  // The answer of the small model is the current one again, and is counted as whole.
  m_router.note_events(number, 1, start + 20ms);
  m_router.note_completed(number, start + 20ms);
  m_router.end(number, start + 20ms);
  EXPECT_EQ(reported_pending_work(), 0U);
}

/// Guards against requests that wait behind the long prompts of others whose answers were good
/// enough to be kept.
RC_GTEST_FIXTURE_PROP(escalations, happen_only_where_nobody_waits, ()) {
  update loads;
  loads.state = {.document_revision = 1, .registry_term = 1, .registry_revision = 1};
  loads.base_registry_revision = 1;
  std::vector<endpoint_load> totals;
  for (auto const* id : {"a", "b", "c"}) {
    totals.push_back({.endpoint = {id},
                      .outstanding = 1,
                      .pending_work = *rc::gen::inRange<std::uint64_t>(1, 100'000)});
  }
  loads.loads = load_summary{.totals = std::move(totals)};
  std::ignore = m_router.receive({"control"}, loads, start);
  RC_ASSERT(!is_escalated(number, 1h));
}

/// Guards against an instance that never asks the largest model again after a time in which its
/// answers did not fit: nothing else shows how long they take now.
RC_GTEST_FIXTURE_PROP(escalations, are_decided_by_recent_answers_only, ()) {
  auto const work = std::chrono::milliseconds(*rc::gen::inRange(1, 20'000));
  auto const left = std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(1, work.count() + 1));
  answer_with_largest_model(work + 1ms);
  auto const later = start + work + 1ms + drafts_timeout + 1ms;
  RC_ASSERT(is_attempt(m_router.begin(1, draft(left), later)));
  RC_ASSERT(m_router.note_answer(1, doubtful, later).has_value());
}

/// Guards against prompts that are queued behind one that takes longer than it counts for, and
/// against endpoints that are avoided for work that they have long done.
RC_GTEST_FIXTURE_PROP(escalations, count_for_the_time_that_the_largest_model_takes, ()) {
  auto const small_time = std::chrono::milliseconds(*rc::gen::inRange(1, 1000));
  auto const ratio = *rc::gen::inRange<std::uint64_t>(1, 50);
  auto const escalate = [&](request_number request) {
    RC_ASSERT(is_attempt(m_router.begin(request, draft(1h), start)));
    auto const answered_at = start + small_time;
    RC_ASSERT(m_router.note_answer(request, doubtful, answered_at).has_value());
    m_router.accept_replacement(request, answered_at);
  };
  constexpr request_number first = 1;
  escalate(first);
  auto const first_ends_at = start + small_time * (1 + ratio);
  RC_ASSERT(!m_router.note_answer(first, doubtful, first_ends_at));
  m_router.end(first, first_ends_at);
  escalate(first + 1);
  auto const expected = draft(1h).prompt_tokens * ratio;
  RC_ASSERT(reported_pending_work() == expected);
}

} // namespace catkinlanding::proxy
