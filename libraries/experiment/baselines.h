#pragma once

#include <libraries/base/random.h>
#include <libraries/routing/policy.h>

#include <memory>

/// Baseline routing policies that the product's policy is compared with.
namespace catkinlanding::experiment {

/// Chooses an allowed version and one of its endpoints at random.
[[nodiscard]] std::unique_ptr<routing::policy> make_random_policy(std::uint64_t seed);

/// Cycles through the allowed versions and, independently, through the endpoints.
[[nodiscard]] std::unique_ptr<routing::policy> make_round_robin_policy();

/// Chooses the most expensive allowed version, at the endpoint with the fewest requests in flight
/// from this instance.
[[nodiscard]] std::unique_ptr<routing::policy> make_least_outstanding_policy(std::uint64_t seed);

/// Chooses the cheapest allowed version, or the most expensive one for escalated requests (see
/// escalated_quality_target), at the endpoint with the fewest requests in flight from this
/// instance.
[[nodiscard]] std::unique_ptr<routing::policy> make_static_cascade_policy(std::uint64_t seed);

/// A request class with at least this quality target marks an escalated request: the static cascade
/// sends it to the most expensive version after a cheaper answer was evaluated as poor.
constexpr double escalated_quality_target = 0.99;

} // namespace catkinlanding::experiment
