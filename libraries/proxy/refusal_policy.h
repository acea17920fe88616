#pragma once

#include <libraries/limits/expected_returns.h>
#include <libraries/proxy/endpoint_filter.h>
#include <libraries/proxy/request.h>

#include <optional>

namespace catkinlanding::proxy {

/// Tells the callers of refused requests when they can be served, as far as this instance knows:
/// when an endpoint accepts a request again, and the callers who were refused before have had their
/// turn. Those who come back as told find one place after the other.
class refusal_policy {
public:
  struct options {
    /// Time in which the control instances elect a leader and this instance finds it.
    base::duration recovery_time{};
    /// An endpoint that is not known yet announces itself within this time.
    base::duration announcement_interval{};
  };

  /// What is known of the service whose endpoints did not serve the request.
  struct prospect {
    base::service_id service;
    /// Empty if the service has no endpoint.
    std::optional<availability> endpoints;
    /// What an answer usually takes; zero if unknown.
    base::duration usual_time{};
  };

  explicit refusal_policy(options options) : m_options(options) {}

  /// A refusal that does not depend on the endpoints.
  [[nodiscard]] refusal make(refusal_kind kind) const;
  /// A refusal of a request that no endpoint can have executed, and that may be served later.
  [[nodiscard]] refusal make(refusal_kind kind, prospect const& prospect, base::monotonic_time now);

private:
  /// The first time from which on no other caller has its turn until a place is left.
  [[nodiscard]] base::duration next_turn(prospect const& prospect, base::monotonic_time now);

  options m_options;
  limits::expected_returns<base::service_id> m_returns{{}};
};

} // namespace catkinlanding::proxy
