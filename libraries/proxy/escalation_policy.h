#pragma once

#include <libraries/cascade/capacity.h>
#include <libraries/proxy/active_request.h>
#include <libraries/proxy/answer_times.h>

#include <vector>

/// What the choice of a model has to know about a request and the endpoints of its service.
namespace catkinlanding::proxy {

/// Whether the current answer is of a model below the largest of its route, and can still be
/// replaced before its caller has received any of it.
[[nodiscard]] bool may_be_escalated(active_request const& request);

/// Whether the largest model's whole answer fits the time left, as far as that is known lately, and
/// one of the endpoints is idle: the largest model takes a multiple of the time of an endpoint, so
/// it answers where nobody waits for that time.
[[nodiscard]] bool can_escalate(active_request const& request, answer_times const& times,
                                std::vector<known_endpoint const*> const& endpoints,
                                base::monotonic_time now);

/// The model for a request of a route that allows one run only, so that no better answer can
/// replace a doubtful one: the largest, as far as `can_escalate` allows it, otherwise the smallest.
[[nodiscard]] base::model_id const&
model_for_single_attempt(active_request const& request, answer_times const& times,
                         std::vector<known_endpoint const*> const& endpoints,
                         base::monotonic_time now);

/// What the endpoints have left. `slots` is the number of concurrent requests of an endpoint that
/// announces none; 0 if unknown.
[[nodiscard]] cascade::capacity capacity_of(std::vector<known_endpoint const*> const& endpoints,
                                            std::uint32_t slots);

/// The retries that this instance must be able to make at once: one for each of its requests in the
/// zone where most of them are, as the endpoints of a zone may be lost together.
[[nodiscard]] std::uint32_t
retries_after_zone_loss(std::vector<known_endpoint const*> const& endpoints);

} // namespace catkinlanding::proxy
