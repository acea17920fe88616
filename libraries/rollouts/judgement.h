#pragma once

#include <libraries/catalogue/rollout.h>
#include <libraries/rollouts/message.h>

namespace catkinlanding::rollouts {

/// Whether the answers since the start of a step suffice to take the next one.
[[nodiscard]] bool allows_step(tally const& target, tally const& baseline,
                               catalogue::rollout_bounds const& bounds);

/// Whether the recent answers are worse than the old version's by a statistically significant
/// margin.
[[nodiscard]] bool is_worse(tally const& recent, tally const& baseline,
                            catalogue::rollout_bounds const& bounds);

} // namespace catkinlanding::rollouts
