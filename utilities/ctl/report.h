#pragma once

#include <libraries/operators/reply.h>
#include <utilities/ctl/catalogue_difference.h>
#include <utilities/ctl/exit_code.h>
#include <utilities/ctl/merged_ledgers.h>

#include <string>

namespace catkinlanding::ctl {

/// The text to print on standard output and the exit code.
struct report {
  std::string text;
  exit_code code = exit_code::success;
};

/// Formats a reply as one line of JSON if `is_json` is set. Otherwise status, history and changes
/// are plain text, bills are one JSON object a line, and the other replies are indented JSON.
[[nodiscard]] report make_report(operators::reply const& reply, bool is_json);

/// Formats merged bills. The exit code is `incomplete` unless a majority of the voters answered.
[[nodiscard]] report make_report(merged_ledgers const& merged, bool is_json);

/// Lists added (`+`), changed (`~`) and missing (`-`) entries. `revision` is the revision of the
/// catalogue that was compared.
[[nodiscard]] std::string difference_text(catalogue_difference const& difference,
                                          catalogue::revision revision, bool is_json);

} // namespace catkinlanding::ctl
