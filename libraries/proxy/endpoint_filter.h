#pragma once

#include <libraries/proxy/active_request.h>
#include <libraries/proxy/endpoint_notices.h>
#include <libraries/proxy/overload_guard.h>
#include <libraries/proxy/version_policy.h>

#include <vector>

namespace catkinlanding::proxy {

/// When endpoints accept requests.
struct availability {
  /// Time until the first of them accepts one, and after each further one until the next.
  base::duration wait{};
  base::duration spacing{};
  /// Requests of this instance that they hold.
  std::uint32_t own_outstanding = 0;
  /// What the first of them stated; empty if one of them accepts requests now.
  std::optional<proxy::deferral> deferral;
};

/// Restricts the endpoints for a request to those that may receive it by their version, and by what
/// they state about themselves.
class endpoint_filter {
public:
  using endpoints = std::vector<known_endpoint const*>;

  struct options {
    version_policy const& versions;
    endpoint_notices const& notices;
    overload_guard const& overload;
    /// Whether the leader's grants are current.
    bool is_connected = false;
    /// Time until the leader's next grants.
    base::duration news_interval{};
    base::monotonic_time now{};
  };

  explicit endpoint_filter(options options) : m_options(options) {}

  /// The endpoints that the request may be sent to now and was not sent to yet. If none of those
  /// that it is meant for accepts one, others of the same version may take their place, and those
  /// of the old version that of a rollout's target.
  [[nodiscard]] endpoints sendable(endpoint_table const& table,
                                   active_request const& request) const;
  /// When the endpoints accept requests that may receive this one by its version, whether they
  /// were tried or not. Empty if there are none.
  [[nodiscard]] std::optional<proxy::availability>
  availability(endpoint_table const& table, active_request const& request) const;

private:
  [[nodiscard]] endpoints eligible(endpoints const& all, base::service_id const& service,
                                   request_facts const& facts) const;
  [[nodiscard]] proxy::availability availability(endpoints const& endpoints) const;
  [[nodiscard]] std::optional<deferral> wait_for(known_endpoint const& endpoint) const;
  [[nodiscard]] endpoints without_wait(endpoints endpoints) const;

  options m_options;
};

} // namespace catkinlanding::proxy
