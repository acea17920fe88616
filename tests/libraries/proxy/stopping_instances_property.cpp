#include <tests/support/router_fixture.h>

#include <rapidcheck/gtest.h>

#include <map>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr base::duration grace = 7s;

/// An instance that gets a request at even intervals, is told to stop and ends. Its endpoints
/// become slow at some time.
class stopping_instances : public routers {
protected:
  struct conditions {
    /// What the shortest answer takes; none takes twice as long before the endpoints become slow.
    base::duration shortest_time{};
    /// What an answer takes that begins after the endpoints have become slow.
    base::duration slow_time{};
    base::monotonic_time slow_since{};
    base::monotonic_time signal_at{};
    base::duration interval{};
    /// Until the last byte of a body has arrived after its header.
    base::duration longest_body{};
    /// What callers allow.
    base::duration caller_timeout{};

    [[nodiscard]] base::monotonic_time end() const { return signal_at + grace; }
  };

  /// A request that was whole after the signal.
  struct late_request {
    base::monotonic_time whole_at{};
    bool is_begun = false;
    bool is_cut = false;
    base::monotonic_time caller_deadline{};
  };

  static milliseconds draw(milliseconds least, milliseconds most) {
    return milliseconds(*rc::gen::inRange<std::int64_t>(least.count(), most.count() + 1));
  }

  static conditions draw_conditions(bool is_slowed) {
    conditions made;
    made.shortest_time = draw(5ms, 1500ms);
    made.signal_at = start + draw(0ms, 20000ms);
    made.slow_time = made.shortest_time * *rc::gen::inRange(3, 24);
    made.slow_since = is_slowed ? start + draw(0ms, 27000ms) : base::monotonic_time::max();
    made.interval = std::max<base::duration>(made.shortest_time / 4, 20ms);
    made.longest_body = draw(0ms, 3000ms);
    made.caller_timeout = draw(100ms, 60000ms);
    return made;
  }

  /// One sample of a time leaves three times as much possible, and the instance itself may pause.
  static base::duration longest_learned(conditions const& given) {
    return 3 * 2 * given.shortest_time + 100ms;
  }

  /// Plays the requests and returns those that were whole after the signal.
  std::vector<late_request> play(conditions const& given) {
    std::multimap<base::monotonic_time, request_number> ends;
    std::map<request_number, base::monotonic_time> late_ends;
    std::vector<late_request> late;
    request_number next = number;
    for (auto now = start; now < given.end(); now += given.interval) {
      complete_until(now, ends);
      if (now >= given.signal_at) {
        m_router.stop_at(given.end());
      }
      auto made = facts("/again/x");
      made.caller_timeout = given.caller_timeout;
      made.waited = std::min<base::duration>(draw(0ms, 3000ms), given.longest_body);
      auto const caller_deadline = now - made.waited + given.caller_timeout;
      auto const decision = m_router.begin(++next, made, now);
      bool const is_begun = is_attempt(decision);
      auto const usual_time = given.shortest_time * *rc::gen::inRange(100, 200) / 100;
      auto const ends_at = now + (now < given.slow_since ? usual_time : given.slow_time);
      if (is_begun) {
        ends.emplace(ends_at, next);
      }
      if (now >= given.signal_at) {
        bool const is_cut = is_begun && ends_at > given.end() && caller_deadline > given.end();
        late.push_back({.whole_at = now,
                        .is_begun = is_begun,
                        .is_cut = is_cut,
                        .caller_deadline = caller_deadline});
      }
    }
    return late;
  }

private:
  void complete_until(base::monotonic_time now,
                      std::multimap<base::monotonic_time, request_number>& ends) {
    while (!ends.empty() && ends.begin()->first <= now) {
      auto const [at, done] = *ends.begin();
      std::ignore = m_router.note_answer(done, std::nullopt, at);
      m_router.note_completed(done, at);
      m_router.end(done, at);
      ends.erase(ends.begin());
    }
  }
};

} // namespace

/// Guards against an answer that is begun after the signal and cut by the end of the instance,
/// while its endpoints take as long as ever (LOST).
RC_GTEST_FIXTURE_PROP(stopping_instances, cut_nothing_that_they_begin, ()) {
  receive_state({"a", "b"});
  for (auto const& request : play(draw_conditions(false))) {
    RC_ASSERT(!request.is_cut);
  }
}

/// Guards against times that were learned from quick answers and by which slow ones are begun: what
/// is under way tells that all have become slow.
RC_GTEST_FIXTURE_PROP(stopping_instances, cut_nothing_that_they_begin_once_slowness_shows, ()) {
  receive_state({"a", "b"});
  auto given = draw_conditions(true);
  // So that the requests that came before are still under way.
  given.caller_timeout += 2 * grace;
  // Attempts show it that have taken longer than was learned, and half of what they take.
  auto const shown_after = std::max<base::duration>(longest_learned(given), given.slow_time / 2);
  for (auto const& request : play(given)) {
    bool const has_shown = request.whole_at > given.slow_since + given.interval + shown_after;
    RC_ASSERT(!request.is_cut || !has_shown);
  }
}

/// Guards against a stop that refuses what it could serve.
RC_GTEST_FIXTURE_PROP(stopping_instances, serve_what_they_can_end, ()) {
  receive_state({"a", "b"});
  auto given = draw_conditions(false);
  given.signal_at += 2 * given.shortest_time + given.interval;
  auto const longest = longest_learned(given);
  for (auto const& request : play(given)) {
    bool const has_time = request.whole_at + longest < request.caller_deadline;
    if (has_time && request.whole_at + longest <= given.end()) {
      RC_ASSERT(request.is_begun);
    }
  }
}

} // namespace catkinlanding::proxy
