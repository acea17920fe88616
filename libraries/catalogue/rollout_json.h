#pragma once

#include <libraries/catalogue/document.h>
#include <libraries/json/document_error.h>

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

/// The JSON form of roll-outs, which operators write as plans and tools print with their progress.
namespace catkinlanding::catalogue {

/// Reads the plan of a roll-out that has not begun. Comments are allowed; unknown fields are
/// errors. The id and the stewardship are left empty.
[[nodiscard]] tl::expected<rollout, std::vector<json::document_error>>
parse_rollout_plan(std::string_view text);

/// Writes every roll-out of the document and how far it has come.
[[nodiscard]] std::string rollouts_to_json(document const& document);

[[nodiscard]] char const* name_of(rollout_state state);
[[nodiscard]] char const* name_of(rollout_reason reason);

} // namespace catkinlanding::catalogue
