#pragma once

#include <libraries/proxy/endpoint_table.h>
#include <libraries/proxy/request.h>

#include <optional>
#include <string>
#include <vector>

namespace catkinlanding::proxy {

/// The criteria for choosing among the endpoints that may receive a request.
struct choice_criteria {
  base::availability_zone_id own_zone;
  /// Requests with the same affinity go to the same endpoints, so that the endpoints' prompt caches
  /// are effective. Empty if no prompt is shared.
  std::string affinity;
  /// Work that a cached prompt saves, in weighted prompt tokens.
  std::uint64_t shared_work = 0;
  /// Number of requests that an endpoint of the service runs concurrently; 0 if unknown.
  std::uint32_t slots = 0;
  /// Random value, drawn for each choice.
  std::uint64_t salt = 0;
};

/// Returns the id of the prompt part that determines a request's affinity: the longest shared part,
/// or the request's own part if it is the only one.
[[nodiscard]] std::string affinity_of(std::vector<prompt_part> const& prompt);

/// Returns the best of the endpoints; nullptr if there are none.
///
/// A request with a prompt is compared on a few endpoints: the one that has it cached, and two of
/// the own zone that are idle, drawn at random, or else two of the own zone and two of others. It
/// goes where it has a free slot and the work before its first token is lowest: pending prompt work
/// and the shared part of the prompt unless it is cached there. Which endpoint has a prompt cached
/// is determined by rendezvous hashing, so that all instances of a zone agree without
/// communication. Other requests stay in their own zone while it has capacity, and are spread by
/// what is free. Endpoints in backoff are used only if there is no other.
[[nodiscard]] known_endpoint const*
choose_endpoint(std::vector<known_endpoint const*> const& candidates,
                choice_criteria const& criteria, base::monotonic_time now);

} // namespace catkinlanding::proxy
