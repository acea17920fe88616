#pragma once

#include <string>

namespace catkinlanding::proxy {

/// Sends log lines to standard output from a thread of its own. The queue to it is bounded: when
/// the reader of standard output falls behind, the oldest lines are dropped, and nothing waits.
void start_log(std::string const& instance, std::string const& level);

void set_log_level(std::string const& level);

/// Writes what is queued.
void stop_log();

} // namespace catkinlanding::proxy
