#pragma once

#include <array>

namespace catkinlanding::ctl {

/// Exit codes of `catkinctl`. Scripts rely on these values.
enum class exit_code : int {
  success = 0,
  usage = 2,
  invalid_file = 3,
  /// The change is recorded, but not yet in force everywhere.
  not_in_force = 4,
  /// The catalogue has changed since the base revision; nothing took effect.
  conflict = 5,
  /// Refused; nothing took effect.
  refused = 6,
  /// The command may have taken effect; send it again with the same change id.
  outcome_unknown = 7,
  unreachable = 8,
  /// Bills may be missing, as no majority of the ledgers answered.
  incomplete = 9,
};

struct exit_code_text {
  exit_code code;
  char const* text;
};

inline constexpr std::array<exit_code_text, 9> exit_code_texts{{
    {exit_code::success, "done"},
    {exit_code::usage, "the command line can't be understood"},
    {exit_code::invalid_file, "a file can't be read or has faults"},
    {exit_code::not_in_force, "recorded, but with --wait not yet in force everywhere"},
    {exit_code::conflict, "another change came first; nothing took effect"},
    {exit_code::refused, "refused; nothing took effect"},
    {exit_code::outcome_unknown, "may have taken effect; send it again with the same change id"},
    {exit_code::unreachable, "no instance could be reached; nothing was sent"},
    {exit_code::incomplete, "bills may be missing: no majority of the ledgers answered"},
}};

[[nodiscard]] constexpr int to_exit_status(exit_code code) {
  return static_cast<int>(code);
}

} // namespace catkinlanding::ctl
