#pragma once

#include <libraries/proxy/active_request.h>
#include <libraries/proxy/escalation_policy.h>
#include <libraries/proxy/retry_limiter.h>

#include <map>
#include <optional>

namespace catkinlanding::proxy {

/// The escalation policies of all services.
class escalation_table {
public:
  void note_first_token(active_request const& request, base::monotonic_time now);
  /// Whether the largest model should answer instead of the current one. If so, a retry has been
  /// taken from the limiter of the request's service.
  [[nodiscard]] bool should_escalate(active_request const& request,
                                     std::optional<double> confidence, retry_limiter& retries,
                                     base::monotonic_time now);

private:
  std::map<base::service_id, escalation_policy> m_policies;
};

} // namespace catkinlanding::proxy
