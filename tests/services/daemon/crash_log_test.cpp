#include <libraries/base/verify.h>
#include <services/daemon/crash_log.h>

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <csignal>
#include <stdexcept>
#include <string>
#include <unistd.h>

namespace catkinlanding::daemon {

namespace {

std::size_t recurse(std::size_t depth);

/// Volatile, so that the compiler can't make a loop of the recursion.
std::size_t (*volatile recurse_again)(std::size_t) = recurse;

/// Takes up more stack than there is.
std::size_t recurse(std::size_t depth) {
  constexpr std::size_t max_depth = 1'000'000'000;
  return depth == max_depth ? 0 : recurse_again(depth + 1) + 1;
}

/// Each process that crashes writes its line to standard error, where the test reads it.
class crash_log : public ::testing::Test {
protected:
  static void install() {
    // Core files are of no use here.
    rlimit const none{.rlim_cur = 0, .rlim_max = 0};
    ::setrlimit(RLIMIT_CORE, &none);
    install_crash_log({.descriptor = STDERR_FILENO,
                       .before_time = "",
                       .time_separator = 'T',
                       .after_time = " level=critical instance=edge-1 event="});
  }

  static void fail_verification() {
    install();
    int const requests = 1;
    CATKINLANDING_VERIFY(requests == 2);
  }

  static void throw_error() { throw std::runtime_error("no \"room\"\nleft"); }

  /// Does not return, as nothing may catch the exception.
  static void throw_uncaught() noexcept {
    install();
    throw_error();
  }

  static void receive(int signal) {
    install();
    ::raise(signal);
  }
};

// Guards against a process that ends by a broken invariant, of which its log says nothing.
TEST_F(crash_log, names_the_broken_invariant_before_the_abort) {
  EXPECT_EXIT(fail_verification(), ::testing::KilledBySignal(SIGABRT),
              "[0-9]+-[0-9]+-[0-9]+T[0-9]+:[0-9]+:[0-9.]+ level=critical instance=edge-1 "
              "event=process crashed signal=6 reason=\"invariant broken: requests == 2 at "
              ".*crash_log_test.cpp:[0-9]+\"");
}

// Guards against an exception that ends the process, of which its log says nothing, or more than
// one line.
TEST_F(crash_log, names_the_exception_that_nothing_catches) {
  EXPECT_EXIT(throw_uncaught(), ::testing::KilledBySignal(SIGABRT),
              "event=process crashed signal=6 reason=\"exception: no 'room' left\"\n");
}

// Guards against a line that costs the exit status by which a supervisor tells how a process ended.
TEST_F(crash_log, leaves_each_signal_its_usual_end) {
  for (int const signal : {SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSEGV}) {
    EXPECT_EXIT(receive(signal), ::testing::KilledBySignal(signal),
                "event=process crashed signal=" + std::to_string(signal) + " reason=\"-\"\n");
  }
}

// A handler on the stack that overflowed could not run.
TEST_F(crash_log, has_a_line_for_an_overflow_of_the_stack) {
  auto const overflow = [] {
    install();
    ::_exit(static_cast<int>(recurse(0)));
  };
  EXPECT_EXIT(overflow(), ::testing::KilledBySignal(SIGSEGV), "process crashed signal=11 ");
}

} // namespace

} // namespace catkinlanding::daemon
