#include <libraries/proxy/escalation_table.h>

namespace catkinlanding::proxy {

namespace {

/// Time that must be left before the deadline to escalate to the largest model.
constexpr std::chrono::milliseconds min_escalation_time{1500};
/// Fraction of the retry limit that escalations may not use, so that it is left for failures.
constexpr double failure_reserve = 0.25;

} // namespace

void escalation_table::note_first_token(active_request const& request, base::monotonic_time now) {
  if (request.route->models.size() > 1) {
    m_policies[request.service].note_first_token(now - request.attempt_at,
                                                 request.route->target_latency, now);
  }
}

bool escalation_table::should_escalate(active_request const& request,
                                       std::optional<double> confidence, retry_limiter& retries,
                                       base::monotonic_time now) {
  auto const& models = request.route->models;
  bool const has_larger = request.model && !models.empty() && *request.model != models.back();
  bool const has_attempts = request.has_attempts_left();
  bool const has_time = now + min_escalation_time < request.deadline;
  if (!confidence || !has_larger || !has_attempts || !has_time || request.has_delivered) {
    return false;
  }
  return *confidence < m_policies[request.service].required_confidence(now) &&
         retries.try_spend(now, failure_reserve);
}

} // namespace catkinlanding::proxy
