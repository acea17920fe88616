#pragma once

#include <libraries/operators/reply.h>
#include <libraries/operators/request.h>
#include <tests/support/deployment.h>

#include <optional>

namespace catkinlanding::testing {

/// Sends one command to an instance. Gives back nothing when the answer was lost.
[[nodiscard]] std::optional<operators::reply> send_command(deployment const& deployment,
                                                           std::string const& id,
                                                           operators::request const& request);

/// Sends a change once. Gives back nothing when its outcome is not known.
[[nodiscard]] std::optional<catalogue::change_outcome>
try_apply(deployment const& deployment, std::string const& id, catalogue::change const& change);

/// A change that adds one model, whose id is made from the id of the change.
[[nodiscard]] catalogue::change model_change(std::string const& id, catalogue::revision base);

/// The instance that leads and holds its lease, or nothing while there is none.
[[nodiscard]] std::optional<std::string> leader_of(deployment const& deployment,
                                                   std::vector<std::string> const& ids);

} // namespace catkinlanding::testing
