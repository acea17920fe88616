#pragma once

#include <libraries/operators/reply.h>
#include <libraries/operators/request.h>
#include <tests/support/deployment.h>

#include <optional>

namespace catkinlanding::testing {

/// Sends one operator command to an instance. Returns nothing if there was no valid response.
[[nodiscard]] std::optional<operators::reply> send_command(deployment const& deployment,
                                                           std::string const& id,
                                                           operators::request const& request);

/// Sends a catalogue change once, without retries. Returns nothing if its outcome is unknown.
[[nodiscard]] std::optional<catalogue::change_outcome>
try_apply(deployment const& deployment, std::string const& id, catalogue::change const& change);

/// Returns a change that adds one model, named after the id of the change.
[[nodiscard]] catalogue::change model_change(std::string const& id, catalogue::revision base);

/// Returns the instance that leads and holds its lease, or nothing if there is none.
[[nodiscard]] std::optional<std::string> leader_of(deployment const& deployment,
                                                   std::vector<std::string> const& ids);

} // namespace catkinlanding::testing
