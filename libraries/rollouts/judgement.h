#pragma once

#include <libraries/catalogue/rollout.h>
#include <libraries/rollouts/message.h>

namespace catkinlanding::rollouts {

/// Whether the evidence of a step allows the next.
[[nodiscard]] bool allows_step(tally const& target, tally const& baseline,
                               catalogue::rollout_bounds const& bounds);

/// Whether the recent answers are so much worse than the old version's that chance is no
/// explanation.
[[nodiscard]] bool is_worse(tally const& recent, tally const& baseline,
                            catalogue::rollout_bounds const& bounds);

} // namespace catkinlanding::rollouts
