#include <services/proxy/log.h>

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <fcntl.h>
#include <unistd.h>

namespace catkinlanding::proxy {

namespace {

/// Ends the child process with a signal if it hangs.
constexpr unsigned hang_limit_seconds = 60;

[[noreturn]] void stop_with_queued_lines() {
  ::alarm(hang_limit_seconds);
  ::dup2(::open("/dev/null", O_WRONLY | O_CLOEXEC), STDOUT_FILENO);
  start_log("instance", "info");
  constexpr int lines = 3000;
  for (int i = 0; i < lines; ++i) {
    spdlog::info("test line number={}", i);
  }
  stop_log();
  std::_Exit(EXIT_SUCCESS);
}

// Guards against a process that never ends because it stops its log while lines are still queued:
// the thread that wrote them waited for a lock that the stop held.
TEST(logs, can_be_stopped_while_lines_are_queued) {
  GTEST_FLAG_SET(death_test_style, "threadsafe");
  EXPECT_EXIT(stop_with_queued_lines(), ::testing::ExitedWithCode(EXIT_SUCCESS), "");
}

} // namespace

} // namespace catkinlanding::proxy
