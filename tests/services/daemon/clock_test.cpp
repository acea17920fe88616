#include <services/daemon/clock.h>
#include <services/daemon/coroutine.h>

#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdlib>
#include <ctime>
#include <fstream>
#include <functional>
#include <sched.h>
#include <unistd.h>

namespace catkinlanding::daemon {

namespace {

using namespace std::chrono_literals;

/// For how long the machine of `run_suspended` seems to have been suspended.
constexpr std::chrono::seconds suspension{100};

base::duration read(clockid_t id) {
  timespec time{};
  EXPECT_EQ(::clock_gettime(id, &time), 0);
  return std::chrono::duration_cast<base::duration>(std::chrono::seconds(time.tv_sec) +
                                                    std::chrono::nanoseconds(time.tv_nsec));
}

enum class outcome : std::uint8_t { holds, fails, no_namespace };

/// Runs this in a process for which the clock that counts suspension is ahead of the one that
/// doesn't, as after a suspension.
outcome run_suspended(std::function<bool()> const& condition) {
  auto const child = ::fork();
  if (child == 0) {
    // The offsets of a time namespace hold for processes that begin in it.
    bool const has_namespace =
        ::unshare(CLONE_NEWUSER | CLONE_NEWTIME) == 0 &&
        (std::ofstream("/proc/self/timens_offsets") << "boottime " << suspension.count() << " 0\n")
            .flush()
            .good();
    if (!has_namespace) {
      ::_exit(static_cast<int>(outcome::no_namespace));
    }
    auto const grandchild = ::fork();
    if (grandchild == 0) {
      ::_exit(static_cast<int>(condition() ? outcome::holds : outcome::fails));
    }
    int status = 0;
    ::waitpid(grandchild, &status, 0);
    ::_exit(WIFEXITED(status) ? WEXITSTATUS(status) : static_cast<int>(outcome::fails));
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  return WIFEXITED(status) ? static_cast<outcome>(WEXITSTATUS(status)) : outcome::fails;
}

/// Whether a timer that is set by a duration, and one by a time point, fire when they are due.
bool timers_fire_when_due() {
  constexpr std::chrono::milliseconds wait{20};
  constexpr std::chrono::seconds give_up_time{10};
  boost::asio::io_context context;
  auto const due = now() + wait;
  steady_timer by_duration(context);
  steady_timer by_time(context);
  by_duration.expires_after(wait);
  by_time.expires_at(due);
  int fired = 0;
  bool is_early = false;
  auto const on_fired = [&](boost::system::error_code error) {
    fired += error ? 0 : 1;
    is_early = is_early || now() < due;
  };
  by_duration.async_wait(on_fired);
  by_time.async_wait(on_fired);
  context.run_for(give_up_time);
  return fired == 2 && !is_early;
}

// Guards against a leader that goes on with the rest of a lease after its machine was suspended,
// and answers reads although others acknowledged newer changes meanwhile.
TEST(clocks, count_the_time_in_which_the_machine_is_suspended) {
  auto const before = read(CLOCK_BOOTTIME);
  auto const time = now().time_since_epoch();
  EXPECT_LE(before, time);
  EXPECT_LE(time, read(CLOCK_BOOTTIME));
  auto const result = run_suspended([] {
    auto const uncounted = read(CLOCK_MONOTONIC);
    return now().time_since_epoch() >= uncounted + suspension;
  });
  if (result == outcome::no_namespace) {
    GTEST_SKIP() << "the system gives processes no clocks of their own; the clocks agree here";
  }
  EXPECT_EQ(result, outcome::holds);
}

// Guards against timers that read another clock than the one by which their deadlines are made:
// after a suspension they would fire late by as much.
TEST(clocks, agree_with_timers) {
  EXPECT_TRUE(timers_fire_when_due());
  EXPECT_NE(run_suspended(timers_fire_when_due), outcome::fails);
}

} // namespace

} // namespace catkinlanding::daemon
