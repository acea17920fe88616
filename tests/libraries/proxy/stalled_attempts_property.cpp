#include <tests/support/router_fixture.h>

#include <rapidcheck/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

/// For so long an instance that has used up its share of a processor may not run.
constexpr base::duration own_pause = 100ms;

class stalled_attempts : public routers {
protected:
  /// Begins a request whose caller waits for this long.
  void begin_with(std::string path, base::duration caller_timeout) {
    auto made = facts(std::move(path));
    made.caller_timeout = caller_timeout;
    RC_ASSERT(is_attempt(m_router.begin(number, made, start)));
  }
};

base::duration any_work() {
  return std::chrono::milliseconds(*rc::gen::inRange(5, 5'000));
}

/// A time that varies by up to a factor of two.
base::duration varied(base::duration work) {
  return work + work * *rc::gen::inRange(0, 99) / 100;
}

} // namespace

/// Guards against giving up a sound attempt because of a figure that has nothing to do with how
/// long the work takes.
RC_GTEST_FIXTURE_PROP(stalled_attempts, are_not_those_that_take_as_long_as_others, ()) {
  receive_state({"a", "b"});
  auto const work = any_work();
  auto const answers = *rc::gen::inRange(1, 30);
  for (int i = 0; i < answers; ++i) {
    answer_one("/again/x", varied(work));
  }
  begin_with("/again/x", 30s);
  RC_ASSERT(!try_replace_stalled(start + varied(work)));
}

/// Guards against a caller that waits for its whole time for an endpoint that has failed.
RC_GTEST_FIXTURE_PROP(stalled_attempts, are_given_up_while_another_fits, ()) {
  receive_state({"a", "b"});
  auto const work = any_work();
  auto const answers = *rc::gen::inRange(1, 30);
  for (int i = 0; i < answers; ++i) {
    answer_one("/again/x", varied(work));
  }
  // The deviation of what varies between one and two times the work is at most one time.
  auto const time_left = std::min<base::duration>(10 * work + own_pause, 30s);
  begin_with("/again/x", time_left);
  if (10 * work + own_pause <= 30s) {
    RC_ASSERT(try_replace_stalled(start + std::max(6 * work, 2 * work + own_pause)));
  }
  RC_ASSERT(!try_replace_stalled(start + time_left - work / 2));
}

RC_GTEST_FIXTURE_PROP(stalled_attempts, are_unknown_before_the_first_answer, ()) {
  receive_state({"a", "b"});
  begin_with("/again/x", 30s);
  RC_ASSERT(m_router.stall_deadline(number) == std::nullopt);
}

/// Guards against giving up request after request while all answers take longer than before.
RC_GTEST_FIXTURE_PROP(stalled_attempts, get_twice_the_time_after_each_that_was_given_up, ()) {
  receive_state({"a", "b"});
  auto const work = any_work();
  answer_one("/again/x", work);
  begin_with("/again/x", 1h);
  auto const due = *m_router.stall_deadline(number) - start;
  RC_ASSERT(try_replace_stalled(start + due));
  m_router.accept_replacement(number, start + due);
  m_router.end(number, start + due);
  begin_with("/again/x", 1h);
  RC_ASSERT(*m_router.stall_deadline(number) - start == 2 * due);
}

} // namespace catkinlanding::proxy
