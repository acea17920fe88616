#pragma once

#include <libraries/catalogue/document.h>
#include <libraries/json/document_error.h>
#include <libraries/operators/request.h>
#include <utilities/ctl/invocation.h>

#include <optional>
#include <string>
#include <vector>

/// Helpers shared by the commands that read files or change the catalogue. Errors are printed to
/// standard error.
namespace catkinlanding::ctl {

[[nodiscard]] std::optional<std::string> read_file(std::string const& path);

void print_errors(std::string const& path, std::vector<json::document_error> const& errors);

/// Fetches the leader's current catalogue.
[[nodiscard]] std::optional<catalogue::document>
fetch_current_document(invocation const& invocation);

/// Returns the change id from the command line, or a random one if it gives none.
[[nodiscard]] base::change_id choose_change_id(invocation const& invocation);

/// Creates a change without entries. Its base revision is the one from the command line, or the
/// document's if none is given.
[[nodiscard]] operators::apply_change make_change_request(invocation const& invocation,
                                                          catalogue::document const& document);

} // namespace catkinlanding::ctl
