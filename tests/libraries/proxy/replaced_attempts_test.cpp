#include <tests/support/router_fixture.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

/// A stream has begun, and has paused for so long that another endpoint is asked.
class replaced_attempts : public routers {
protected:
  void SetUp() override {
    receive_state({"a", "b", "c"});
    auto patient = facts("/resume/x");
    patient.caller_timeout = 30s;
    auto const first = m_router.begin(number, patient, start);
    ASSERT_TRUE(is_attempt(first));
    m_first = std::get<attempt>(first).endpoint;
    ASSERT_FALSE(m_router.note_answer(number, std::nullopt, start));
    m_router.note_events(number, 1, start);
    m_asked = ask(start + 3s);
    ASSERT_NE(m_asked.value, "");
  }

  /// Returns the endpoint that is asked to take the place of the attempt; empty if none is.
  base::endpoint_id ask(base::monotonic_time at) {
    auto const found = m_router.try_replace_stalled(number, at);
    return found ? std::get<attempt>(*found).endpoint : base::endpoint_id{};
  }

  [[nodiscard]] base::endpoint_id endpoint() const {
    return m_router.report_attempt(number, start + 3s)->endpoint;
  }

  base::endpoint_id m_first;
  base::endpoint_id m_asked;
};

} // namespace

TEST_F(replaced_attempts, are_held_while_another_endpoint_is_asked) {
  EXPECT_NE(m_asked, m_first);
  EXPECT_EQ(ask(start + 3s), base::endpoint_id{});
}

// A stream was given up for an endpoint that rejected the request.
TEST_F(replaced_attempts, go_on_if_the_other_endpoint_rejects_the_request) {
  m_router.fail_replacement(number, attempt_failure::not_executed, start + 3s);
  EXPECT_EQ(endpoint(), m_first);
  EXPECT_NE(ask(start + 3s), base::endpoint_id{});
}

// A request without an attempt left was cut, although its stream went on.
TEST_F(replaced_attempts, go_on_without_an_attempt_left) {
  m_router.fail_replacement(number, attempt_failure::not_executed, start + 3s);
  ASSERT_NE(ask(start + 3s), base::endpoint_id{});
  m_router.fail_replacement(number, attempt_failure::not_executed, start + 3s);
  EXPECT_EQ(ask(start + 20s), base::endpoint_id{});
  EXPECT_EQ(endpoint(), m_first);
}

TEST_F(replaced_attempts, go_on_if_an_event_arrives_first) {
  m_router.withdraw_replacement(number, start + 3s);
  m_router.note_events(number, 1, start + 3s);
  EXPECT_EQ(endpoint(), m_first);
  m_router.end(number, start + 4s);
  EXPECT_EQ(outstanding(start + 10s), 0U);
}

TEST_F(replaced_attempts, end_once_the_other_endpoint_accepts_the_request) {
  m_router.accept_replacement(number, start + 3s);
  EXPECT_EQ(endpoint(), m_asked);
  m_router.end(number, start + 4s);
  EXPECT_EQ(outstanding(start + 10s), 0U);
}

// Both endpoints held the request when it ended: neither may count it any longer.
TEST_F(replaced_attempts, leave_nothing_behind_when_the_request_ends) {
  m_router.end(number, start + 4s);
  EXPECT_EQ(outstanding(start + 10s), 0U);
}

// The connection to the first endpoint broke while the other one was asked: the request has that
// attempt left, and may follow it up.
TEST_F(replaced_attempts, that_break_leave_the_other_endpoint) {
  m_router.fail_held(number, attempt_failure::broken, start + 3s);
  EXPECT_EQ(endpoint(), m_asked);
  EXPECT_TRUE(is_attempt(fail(attempt_failure::not_executed, true, 3s)));
}

// All streams became slower at once, and each was judged by the pauses of before.
TEST_F(replaced_attempts, show_with_their_next_event_which_pauses_are_sound) {
  m_router.withdraw_replacement(number, start + 5s);
  m_router.note_events(number, 1, start + 5s);
  EXPECT_GE(*m_router.stall_deadline(number), start + 10s);
}

// One stream whose endpoint had stood still for long, or whose caller had read nothing, kept others
// from being continued elsewhere.
TEST_F(replaced_attempts, raise_the_limit_for_others_by_a_step_however_long_they_paused) {
  m_router.withdraw_replacement(number, start + 25s);
  m_router.note_events(number, 1, start + 25s);
  EXPECT_LE(*m_router.stall_deadline(number), start + 25s + 6s);
}

// The time in which a caller did not read was taken for silence of the endpoint.
TEST_F(replaced_attempts, are_judged_from_the_end_of_the_last_write) {
  m_router.withdraw_replacement(number, start + 3s);
  m_router.note_events(number, 1, start + 3s);
  m_router.note_written(number, start + 9s);
  EXPECT_EQ(ask(start + 10s), base::endpoint_id{});
}

// A look-up was held by two endpoints that hung, and the third was not asked in its time.
TEST_F(routers, judge_the_replacement_of_a_request_without_a_stream_like_the_first_attempt) {
  receive_state({"a", "b", "c"});
  answer_one("/again/x", 130ms);
  auto patient = facts("/again/x");
  patient.caller_timeout = 30s;
  ASSERT_TRUE(is_attempt(m_router.begin(number, patient, start)));
  ASSERT_TRUE(try_replace_stalled(start + 390ms));
  EXPECT_EQ(m_router.stall_deadline(number), start + 2 * 390ms);
}

} // namespace catkinlanding::proxy
