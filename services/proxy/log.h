#pragma once

#include <string>

namespace catkinlanding::proxy {

/// Starts logging to standard output from a separate thread. The queue is bounded: if the reader of
/// standard output falls behind, the oldest lines are dropped and callers never block.
void start_log(std::string const& instance, std::string const& level);

void set_log_level(std::string const& level);

/// Flushes the queued lines and stops logging.
void stop_log();

} // namespace catkinlanding::proxy
