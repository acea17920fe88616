#pragma once

#include <utilities/ctl/process_ends.h>

#include <cstddef>
#include <string>
#include <vector>

namespace catkinlanding::ctl {

/// What the report on the ends of processes shows.
struct cut_report_options {
  /// Only the ends that cut the request with this id, and no other request; empty for all.
  std::string request;
  /// The most lines: one for each end and each request. The rest is counted in one more line.
  std::size_t max_lines = 0;
  bool is_json = false;
};

/// One line for each end of a process, followed by one for each request that it cut; or one JSON
/// object on one line, with the same bound.
[[nodiscard]] std::string cut_report(std::vector<process_end> const& ends,
                                     cut_report_options const& options);

} // namespace catkinlanding::ctl
