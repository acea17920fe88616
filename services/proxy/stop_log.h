#pragma once

#include <services/proxy/open_request.h>

#include <cstddef>
#include <vector>

/// The log lines from which can be found what a planned stop did to each request; see
/// docs/OPERATIONS.md.
namespace catkinlanding::proxy::stop_log {

/// When the process was told to stop, and when it ends.
struct stop_times {
  base::monotonic_time signal_at{};
  base::monotonic_time end_at{};
};

/// The process was told to stop while so many requests were active, and so many half read.
void stopping(int signal, std::size_t active, std::size_t half_read);
/// The process ends and cuts these requests: one line for each of the first `max_cut_lines`, then
/// one with the number of those that were left out.
void cut(std::vector<open_request> const& requests, stop_times const& times);

/// Bounds the time that the last lines of a process take.
inline constexpr std::size_t max_cut_lines = 200;

} // namespace catkinlanding::proxy::stop_log
