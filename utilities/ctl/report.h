#pragma once

#include <libraries/operators/reply.h>
#include <utilities/ctl/catalogue_difference.h>
#include <utilities/ctl/exit_code.h>
#include <utilities/ctl/merged_ledgers.h>

#include <string>

namespace catkinlanding::ctl {

/// What to print, and how to exit.
struct report {
  std::string text;
  exit_code code = exit_code::success;
};

/// One JSON object for scripts; for people tables, and for bills one JSON object a line.
[[nodiscard]] report make_report(operators::reply const& reply, bool is_json);

[[nodiscard]] report make_report(merged_ledgers const& merged, bool is_json);

[[nodiscard]] std::string difference_text(catalogue_difference const& difference,
                                          catalogue::revision revision, bool is_json);

} // namespace catkinlanding::ctl
