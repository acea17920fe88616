#pragma once

#include <libraries/proxy/endpoint_table.h>
#include <libraries/proxy/request.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace catkinlanding::proxy {

/// Which software versions of a service's endpoints may take a request while versions change.
///
/// Until the verdict only a small share of the requests goes to the target, and to few of its
/// endpoints, so that these run under their usual load. Sessions stay with the version that they
/// began with: in the first half of a rollout none moves to the target, and none ever moves back.
class version_policy {
public:
  struct options {
    /// The share of requests for a target that is not judged yet, in thousandths.
    std::uint32_t trial_permille = 80;
    /// A session is remembered for so long after its last request.
    base::duration session_memory = std::chrono::seconds(5);
    std::size_t most_sessions = 20'000;
  };

  explicit version_policy(options options) : m_options(options) {}

  void take(std::vector<rollout> const& rollouts, base::monotonic_time now);

  /// Those of the service's endpoints that may take the request.
  [[nodiscard]] std::vector<known_endpoint const*>
  admit(std::vector<known_endpoint const*> endpoints, base::service_id const& service,
        request_facts const& facts, base::monotonic_time now) const;

  /// The session's request runs on this version.
  void note(base::service_id const& service, base::session_id const& session,
            base::version_id const& version, base::monotonic_time now);

  /// The rollout that answers of the service speak for; nullptr where none is running.
  [[nodiscard]] rollout const* running(base::service_id const& service) const;

private:
  struct known_rollout {
    proxy::rollout rollout;
    base::monotonic_time began_at{};
  };

  struct pin {
    base::version_id version;
    base::monotonic_time used_at{};
  };

  [[nodiscard]] bool is_on_trial(rollout const& rollout, request_facts const& facts) const;
  [[nodiscard]] std::optional<base::version_id> pinned_version(base::service_id const& service,
                                                               base::session_id const& session,
                                                               base::monotonic_time now) const;
  void forget_old_sessions(base::monotonic_time now);

  options m_options;
  std::map<base::service_id, known_rollout> m_rollouts;
  std::unordered_map<std::string, pin> m_sessions;
  base::monotonic_time m_swept_at{};
};

} // namespace catkinlanding::proxy
