#pragma once

#include <libraries/base/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace catkinlanding::ctl {

/// A line of the structured log of any process of the system.
struct log_line {
  /// Milliseconds since 1970 by the clock of the instance that wrote the line.
  std::chrono::milliseconds time{};
  /// Counts the lines that were read, as several lines of an instance may have the same time.
  std::uint64_t number = 0;
  /// Empty if the line does not name it.
  std::string instance;
  /// The two words of the event, such as "entry attempt".
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;
  /// The line from its time on.
  std::string text;

  /// The value of the field; empty if the line has none of this name.
  [[nodiscard]] std::string field(std::string_view name) const;
};

/// Parses a line of either program. Text before the time, as collectors of logs add it, is ignored.
/// Returns nothing if the line is not one of the structured log.
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view line);

/// Whether a process of the line's instance started with it.
[[nodiscard]] bool is_process_start(log_line const& line);

} // namespace catkinlanding::ctl
