#pragma once

#include <libraries/requests/active_request.h>
#include <libraries/requests/environment.h>

/// Selection of the version and the endpoint for a request, within what its customer, its session
/// and the catalogue allow.
namespace catkinlanding::requests {

/// Selects for the next attempt, and records model and version in the request.
[[nodiscard]] tl::expected<base::endpoint_id, routing::choice_error>
choose_endpoint(active_request& request, environment const& environment, base::monotonic_time now);

/// Whether the request needs a pin from the log, and the log is unreachable.
[[nodiscard]] bool is_pin_unavailable(active_request const& request, environment const& environment,
                                      base::monotonic_time now);

} // namespace catkinlanding::requests
