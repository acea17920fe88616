#include <tests/support/router_fixture.h>

#include <rapidcheck/gtest.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

class time_left : public routers {
protected:
  static constexpr std::chrono::milliseconds longest_answer{2'000};

  /// Shows the router some answers on this path. Returns the shortest time that one took.
  base::duration answer_some(std::string const& path) {
    auto shortest = base::duration::max();
    auto const answers = *rc::gen::inRange(1, 10);
    for (int i = 0; i < answers; ++i) {
      auto const took =
          std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(1, longest_answer.count()));
      answer_one(path, took);
      shortest = std::min<base::duration>(shortest, took);
    }
    return shortest;
  }

  bool is_sent(std::string const& path, base::duration left) {
    auto made = facts(path);
    made.caller_timeout = left;
    auto const decision = m_router.begin(number, made, start);
    m_router.end(number, start);
    return is_attempt(decision);
  }
};

char const* any_path() {
  return *rc::gen::element("/once/x", "/again/x", "/stream/x", "/resume/x");
}

} // namespace

/// Guards against a request that is refused although it fits, or sent although no answer of its
/// route has ever come so fast.
RC_GTEST_FIXTURE_PROP(time_left, decides_whether_a_request_is_sent, ()) {
  receive_state({"a"});
  auto const* path = any_path();
  auto const shortest = answer_some(path);
  auto const left = std::chrono::milliseconds(*rc::gen::inRange(1, 4'000));
  RC_ASSERT(is_sent(path, left) == (left > shortest));
}

/// A retry is sent if a first attempt would be that has as much time.
RC_GTEST_FIXTURE_PROP(time_left, is_judged_alike_for_first_attempts_and_retries, ()) {
  receive_state({"a", "b"});
  auto const* path = any_path();
  std::ignore = answer_some(path);
  auto const left = std::chrono::milliseconds(*rc::gen::inRange(1, 4'000));
  bool const is_first_sent = is_sent(path, left);
  auto made = facts(path);
  made.caller_timeout = 10s;
  RC_ASSERT(is_attempt(m_router.begin(number, made, start)));
  auto const retry =
      m_router.fail(number, attempt_failure::not_executed, false, start + 10s - left);
  RC_ASSERT(is_attempt(retry) == is_first_sent);
}

/// Guards against a route that is closed for good to callers with little time: what was learned of
/// it holds while requests may run that saw the same.
RC_GTEST_FIXTURE_PROP(time_left, is_judged_by_recent_answers_only, ()) {
  receive_state({"a"});
  auto const* path = any_path();
  auto const shortest = answer_some(path);
  auto made = facts(path);
  made.caller_timeout = shortest;
  RC_ASSERT(!is_attempt(m_router.begin(number, made, start)));
  m_router.end(number, start);
  auto const later = start + longest_answer + make_route(path, {}, 1).timeout + 1ms;
  RC_ASSERT(is_attempt(m_router.begin(number, made, later)));
}

/// More time never turns an admission into a refusal.
RC_GTEST_FIXTURE_PROP(time_left, never_refuses_for_having_more, ()) {
  receive_state({"a"});
  auto const* path = any_path();
  std::ignore = answer_some(path);
  auto const some = std::chrono::milliseconds(*rc::gen::inRange(1, 4'000));
  auto const more = some + std::chrono::milliseconds(*rc::gen::inRange(0, 4'000));
  RC_ASSERT(!is_sent(path, some) || is_sent(path, more));
}

} // namespace catkinlanding::proxy
