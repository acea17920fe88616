#pragma once

#include <libraries/catalogue/document.h>
#include <libraries/json/document_error.h>
#include <libraries/operators/request.h>
#include <utilities/ctl/invocation.h>

#include <optional>
#include <string>
#include <vector>

/// What the commands share that read files and change the catalogue. Faults are printed.
namespace catkinlanding::ctl {

[[nodiscard]] std::optional<std::string> read_file(std::string const& path);

void print_errors(std::string const& path, std::vector<json::document_error> const& errors);

/// The catalogue as the leader has it.
[[nodiscard]] std::optional<catalogue::document>
fetch_current_document(invocation const& invocation);

/// The id that the command line gives, or a new one.
[[nodiscard]] base::change_id choose_change_id(invocation const& invocation);

/// An empty change against the document, or against the revision that the command line gives.
[[nodiscard]] operators::apply_change make_change_request(invocation const& invocation,
                                                          catalogue::document const& document);

} // namespace catkinlanding::ctl
