#pragma once

#include <string>

namespace catkinlanding::proxy {

/// Starts logging to standard output from a separate thread. The queue is bounded: if the reader of
/// standard output falls behind or stops reading, lines are dropped, which a later line tells, and
/// neither callers nor the end of the process are delayed.
void start_log(std::string const& instance, std::string const& level);

void set_log_level(std::string const& level);

/// Flushes the queued lines and stops logging.
void stop_log();

} // namespace catkinlanding::proxy
