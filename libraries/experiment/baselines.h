#pragma once

#include <libraries/base/random.h>
#include <libraries/routing/policy.h>

#include <memory>

/// The strategies that the product's policy is measured against.
namespace catkinlanding::experiment {

/// Any allowed version at any endpoint.
[[nodiscard]] std::unique_ptr<routing::policy> make_random_policy(std::uint64_t seed);

/// Allowed versions and endpoints in turn.
[[nodiscard]] std::unique_ptr<routing::policy> make_round_robin_policy();

/// The dearest allowed version at the endpoint with the least work of this instance.
[[nodiscard]] std::unique_ptr<routing::policy> make_least_outstanding_policy(std::uint64_t seed);

/// The cheapest allowed version, and the dearest where the quality target says that a cheap answer
/// was poor; both at the endpoint with the least work of this instance.
[[nodiscard]] std::unique_ptr<routing::policy> make_static_cascade_policy(std::uint64_t seed);

/// Classes with at least this target are second tries of the static cascade.
constexpr double escalated_quality_target = 0.99;

} // namespace catkinlanding::experiment
