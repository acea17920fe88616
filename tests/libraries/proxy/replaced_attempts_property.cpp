#include <tests/support/router_fixture.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::duration check_interval = 20ms;
constexpr base::duration connect_timeout = 250ms;
constexpr base::duration time_of_caller = 30s;

/// What an endpoint does when it is asked to take the place of another one.
enum class conduct : std::uint8_t { accepts, rejects, hangs, refuses_connections };

/// A stream of one endpoint with drawn pauses, and others with a drawn conduct. Plays the part of
/// the process around the router.
class paused_streams : public routers {
protected:
  /// Returns whether the caller gets the whole stream, from one endpoint or from two.
  [[nodiscard]] bool play(std::vector<base::duration> const& pauses) {
    auto patient = facts("/resume/x");
    patient.caller_timeout = time_of_caller;
    RC_ASSERT(is_attempt(m_router.begin(number, patient, start)));
    RC_ASSERT(!m_router.note_answer(number, std::nullopt, start));
    m_router.note_events(number, 1, start);
    auto now = start;
    for (auto const pause : pauses) {
      auto const next_event = now + pause;
      if (is_replaced_before(now, next_event)) {
        return true;
      }
      now = next_event;
      m_router.note_events(number, 1, now);
    }
    m_router.note_completed(number, now);
    m_router.end(number, now);
    return now < start + time_of_caller;
  }

  /// Looks for another endpoint whenever the stream counts as stalled. Returns whether one accepts
  /// the request.
  bool is_replaced_before(base::monotonic_time from, base::monotonic_time next_event) {
    auto due = m_router.stall_deadline(number);
    while (due && std::max(*due, from) < next_event) {
      from = std::max(*due, from);
      auto const asked = m_router.try_replace_stalled(number, from);
      from += check_interval;
      if (asked && ask(std::get<attempt>(*asked).endpoint, from, next_event)) {
        return true;
      }
      due = m_router.stall_deadline(number);
    }
    return false;
  }

  /// Returns whether the endpoint accepts the request before the next event of the stream arrives.
  bool ask(base::endpoint_id const& endpoint, base::monotonic_time& now,
           base::monotonic_time next_event) {
    auto const waited_until = *m_router.stall_deadline(number);
    std::map<conduct, base::monotonic_time> const answers{
        {conduct::accepts, now + m_answer_time},
        {conduct::rejects, now},
        {conduct::hangs, base::monotonic_time::max()},
        {conduct::refuses_connections, now + connect_timeout}};
    std::map<conduct, attempt_failure> const failures{
        {conduct::rejects, attempt_failure::not_executed},
        {conduct::refuses_connections, attempt_failure::unreachable}};
    auto const shown = m_conducts.at(endpoint.value);
    auto const answered_at = answers.at(shown);
    if (std::min(answered_at, waited_until) >= next_event) {
      m_router.withdraw_replacement(number, next_event);
      now = next_event;
      return false;
    }
    now = std::min(answered_at, waited_until);
    if (answered_at >= waited_until) {
      m_router.fail_replacement(number, attempt_failure::stalled, now);
      return false;
    }
    if (failures.contains(shown)) {
      m_router.fail_replacement(number, failures.at(shown), now);
      return false;
    }
    m_router.accept_replacement(number, now);
    RC_ASSERT(!m_router.note_answer(number, std::nullopt, now));
    m_router.end(number, now);
    return true;
  }

  std::map<std::string, conduct> m_conducts;
  base::duration m_answer_time{};
};

} // namespace

/// Guards against a stream that is cut though its endpoint is at work: pauses that are longer than
/// any before, and other endpoints that reject the request, hang or can't be reached.
RC_GTEST_FIXTURE_PROP(paused_streams, are_whole_whatever_other_endpoints_do, ()) {
  std::vector<std::string> const names{"a", "b", "c", "d"};
  receive_state(names);
  // Streams of before were quick.
  answer_one("/resume/x", std::chrono::milliseconds(*rc::gen::inRange(1, 500)));
  for (auto const& name : names) {
    m_conducts[name] = *rc::gen::element(conduct::accepts, conduct::rejects, conduct::hangs,
                                         conduct::refuses_connections);
  }
  m_answer_time = std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
  auto const count = *rc::gen::inRange(1, 8);
  std::vector<base::duration> pauses;
  base::duration whole{};
  for (int i = 0; i < count; ++i) {
    pauses.push_back(std::chrono::milliseconds(*rc::gen::inRange(0, 9000)));
    whole += pauses.back();
  }
  RC_PRE(whole < time_of_caller);
  RC_ASSERT(play(pauses));
  RC_ASSERT(outstanding(start + 1h) == 0U);
}

} // namespace catkinlanding::proxy
