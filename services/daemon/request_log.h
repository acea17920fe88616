#pragma once

#include <libraries/instance/effect.h>

#include <cstddef>

namespace catkinlanding::daemon {

/// Writes the lines that lead from a request's id to what ended it, and from the end of the process
/// to the requests that it cut. The number of lines is bounded, however many requests fail.
class request_log {
public:
  /// Writes a line for a request that an endpoint may have run and whose caller got no whole
  /// answer. Of more than 20 a second the rest is counted, and the next line tells how many.
  void lost(requests::reply_failure const& failure, base::monotonic_time now);
  /// Writes which requests a stop waits for.
  static void stopping(instance::stop_report const& report);

private:
  base::monotonic_time m_second_began{};
  std::size_t m_lines_in_second = 0;
  std::size_t m_unlogged = 0;
};

} // namespace catkinlanding::daemon
