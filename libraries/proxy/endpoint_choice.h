#pragma once

#include <libraries/proxy/endpoint_table.h>
#include <libraries/proxy/request.h>

#include <optional>
#include <string>
#include <vector>

namespace catkinlanding::proxy {

/// What decides among the endpoints that may take a request.
struct choice_criteria {
  base::availability_zone_id own_zone;
  /// Requests that share this go to the same endpoints, so that these keep the prompt; empty where
  /// nothing is shared.
  std::string affinity;
  /// Work that an endpoint which keeps the prompt is spared, and one that does not has to do:
  /// weighted prompt tokens.
  std::uint64_t shared_work = 0;
  /// Requests that an endpoint of the service runs at once; 0 where it is not known.
  std::uint32_t slots = 0;
  /// Spreads requests without affinity among equals.
  std::uint64_t salt = 0;
};

/// The part of the prompt by which requests are kept together: the longest shared one but the
/// request's own.
[[nodiscard]] std::string affinity_of(std::vector<prompt_part> const& prompt);

/// The best of the endpoints; nullptr where there is none.
///
/// Requests with a prompt go where the work before their first token is least: what waits to be
/// read there, the shared part unless the endpoint keeps it (by rendezvous hashing, so that all
/// instances agree without a message), and the way to another zone. Others stay in their own zone
/// as long as it has room, and go to the least loaded endpoint.
[[nodiscard]] known_endpoint const*
choose_endpoint(std::vector<known_endpoint const*> const& candidates,
                choice_criteria const& criteria, base::monotonic_time now);

} // namespace catkinlanding::proxy
