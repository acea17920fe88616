#pragma once

#include <libraries/proxy/endpoint_rate_limiter.h>
#include <libraries/proxy/version_policy.h>

#include <vector>

namespace catkinlanding::proxy {

/// Restricts the endpoints for a request to those that may receive it by their version, and by the
/// rate that they state.
class endpoint_filter {
public:
  using endpoints = std::vector<known_endpoint const*>;

  struct options {
    version_policy const& versions;
    endpoint_rate_limiter const& rates;
    /// Whether the leader's grants are current.
    bool is_connected = false;
    base::monotonic_time now{};
  };

  explicit endpoint_filter(options options) : m_options(options) {}

  [[nodiscard]] endpoints eligible(endpoints const& all, base::service_id const& service,
                                   request_facts const& facts) const;
  /// Returns those of the eligible endpoints whose rate allows a request now. If there are none,
  /// others of the same version may take their place.
  [[nodiscard]] endpoints sendable(endpoints const& eligible, endpoints const& all,
                                   base::service_id const& service,
                                   request_facts const& facts) const;
  /// How long until the first of the endpoints may receive a request; the largest duration if none
  /// of them may by what is known.
  [[nodiscard]] base::duration wait_for(endpoints const& endpoints) const;

private:
  [[nodiscard]] endpoints within_rate(endpoints endpoints) const;

  options m_options;
};

} // namespace catkinlanding::proxy
