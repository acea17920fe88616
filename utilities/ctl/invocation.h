#pragma once

#include <libraries/base/address.h>
#include <libraries/catalogue/change.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinlanding::ctl {

/// What the command line says.
struct invocation {
  /// Operators' listeners, tried in turn.
  std::vector<base::address> instances;
  std::string change_id;
  std::optional<catalogue::revision> base_revision;
  std::string author = "operator";
  bool is_json = false;
  bool waits_until_in_force = false;
  bool prunes = false;
  /// The command and its arguments.
  std::vector<std::string> positional_arguments;
};

/// Reads the command line; the help of the options is printed where it asks for it. Returns
/// nothing when it can't be understood.
[[nodiscard]] std::optional<invocation> parse_command_line(int argc, char const** argv,
                                                           std::string const& command_help);

/// Reads `IP:PORT`.
[[nodiscard]] std::optional<base::address> parse_address(std::string_view text);

} // namespace catkinlanding::ctl
