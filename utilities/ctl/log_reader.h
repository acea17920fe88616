#pragma once

#include <utilities/ctl/log_line.h>

#include <functional>
#include <string>
#include <vector>

namespace catkinlanding::ctl {

/// Passes on the lines of log files, file by file in the order of their first lines, and each file
/// in its own order. The lines of `catkinlandingd` don't name their instance: they get the name of
/// the start before them in the file, or else the path of the file. Returns whether every file
/// could be read; prints those that could not.
[[nodiscard]] bool read_logs(std::vector<std::string> const& paths,
                             std::function<void(log_line)> const& on_line);

} // namespace catkinlanding::ctl
