#pragma once

#include <string>

namespace catkinlanding::daemon {

/// How the program writes its log lines, for the one line that is written without its logger.
struct crash_log_options {
  /// The file descriptor of the log.
  int descriptor = 1;
  /// What stands before the time, between day and hour, and between the time and the event.
  std::string before_time;
  char time_separator = ' ';
  std::string after_time;
};

/// From now on a process that ends by a fault (a broken invariant, an exception that nothing
/// catches, a fault of memory access or arithmetic, an abort) writes one line first:
/// `process crashed signal=N reason="..."`. Then the signal takes its usual course, so that exit
/// status and core file are those of a process without this line. The lines still queued in the
/// logger are lost. The line is left out if the log has no room for it.
void install_crash_log(crash_log_options const& options);

} // namespace catkinlanding::daemon
