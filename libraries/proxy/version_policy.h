#pragma once

#include <libraries/proxy/endpoint_table.h>
#include <libraries/proxy/request.h>

#include <map>
#include <vector>

namespace catkinlanding::proxy {

/// Restricts the endpoints of a service by software version during a rollout.
///
/// While a version is on trial, a small share of the requests goes to it, concentrated on a few of
/// its endpoints so that these run under more than typical load. The share is selected by hashing
/// the session id, so that all instances keep a session on the same version without communication.
class version_policy {
public:
  struct options {
    /// Share of requests for a version on trial, in thousandths.
    std::uint32_t trial_permille = 80;
  };

  explicit version_policy(options options) : m_options(options) {}

  void apply(std::vector<rollout> const& rollouts);

  /// Returns those of the service's endpoints that may receive the request.
  [[nodiscard]] std::vector<known_endpoint const*>
  eligible_endpoints(std::vector<known_endpoint const*> endpoints, base::service_id const& service,
                     request_facts const& facts) const;

  /// Returns the endpoints that run the old version while the target of a rollout receives requests
  /// and is evaluated; empty if there is no such rollout.
  [[nodiscard]] std::vector<known_endpoint const*>
  old_endpoints(std::vector<known_endpoint const*> const& endpoints,
                base::service_id const& service) const;

  /// Returns the rollout of the service whose target receives requests while it is evaluated;
  /// nullptr if there is none.
  [[nodiscard]] rollout const* evaluated_rollout(base::service_id const& service) const;

  /// Whether the target of a rollout receives all requests and is not accepted yet.
  [[nodiscard]] bool has_promoted_rollout() const;

private:
  [[nodiscard]] bool is_in_trial_share(rollout const& rollout, request_facts const& facts) const;

  options m_options;
  std::map<base::service_id, rollout> m_rollouts;
};

} // namespace catkinlanding::proxy
