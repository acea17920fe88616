#pragma once

#include <libraries/proxy/endpoint_table.h>
#include <libraries/proxy/request.h>

#include <map>
#include <vector>

namespace catkinlanding::proxy {

/// Which software versions of a service's endpoints may take a request while versions change.
///
/// While a target is on trial a small share of the requests goes to it, and to few of its
/// endpoints, so that these run under their usual load. The share is drawn by the session's name,
/// so that all instances keep a session with its version without telling each other.
class version_policy {
public:
  struct options {
    /// The share of requests for a target that is on trial, in thousandths.
    std::uint32_t trial_permille = 80;
  };

  explicit version_policy(options options) : m_options(options) {}

  void apply(std::vector<rollout> const& rollouts);

  /// Those of the service's endpoints that may take the request.
  [[nodiscard]] std::vector<known_endpoint const*>
  eligible_endpoints(std::vector<known_endpoint const*> endpoints, base::service_id const& service,
                     request_facts const& facts) const;

  /// The rollout that answers of the service speak for; nullptr where none is on trial.
  [[nodiscard]] rollout const* on_trial(base::service_id const& service) const;

private:
  [[nodiscard]] bool is_in_trial_share(rollout const& rollout, request_facts const& facts) const;

  options m_options;
  std::map<base::service_id, rollout> m_rollouts;
};

} // namespace catkinlanding::proxy
