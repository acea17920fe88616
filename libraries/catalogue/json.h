#pragma once

#include <libraries/catalogue/change.h>
#include <libraries/catalogue/document.h>
#include <libraries/json/document_error.h>

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

/// The JSON form of the catalogue, which operators write and tools print.
namespace catkinlanding::catalogue {

/// Reads a catalogue document: an object with the arrays `customers`, `classes`, `models`,
/// `versions` and `services`. Comments are allowed; unknown fields are errors.
[[nodiscard]] tl::expected<std::vector<entry>, std::vector<json::document_error>>
parse_entries(std::string_view text);

/// Writes every entry of the document, in the form that `parse_entries` reads.
[[nodiscard]] std::string to_json(document const& document);

} // namespace catkinlanding::catalogue
