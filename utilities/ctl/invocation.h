#pragma once

#include <libraries/base/address.h>
#include <libraries/catalogue/change.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinlanding::ctl {

inline constexpr std::size_t default_max_lines = 200;

/// The parsed command line.
struct invocation {
  /// Operator listeners of the instances, in the order in which they are tried.
  std::vector<base::address> instances;
  std::string change_id;
  std::optional<catalogue::revision> base_revision;
  std::string author = "operator";
  bool is_json = false;
  bool waits_until_in_force = false;
  bool prunes = false;
  /// Only what concerns the request with this id; empty for all.
  std::string request;
  /// The most lines that a report of log files has.
  std::size_t max_lines = default_max_lines;
  /// The command's one or two words, followed by its arguments.
  std::vector<std::string> positional_arguments;
};

/// Parses the command line. `--help` prints the help and exits the process with status 0. Returns
/// nothing if the command line is invalid.
[[nodiscard]] std::optional<invocation> parse_command_line(int argc, char const** argv,
                                                           std::string const& command_help);

/// Parses `IP:PORT`. The IP part isn't validated.
[[nodiscard]] std::optional<base::address> parse_address(std::string_view text);

} // namespace catkinlanding::ctl
