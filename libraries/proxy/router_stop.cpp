#include <libraries/proxy/request_admission.h>
#include <libraries/proxy/router.h>

#include <algorithm>

namespace catkinlanding::proxy {

stop_policy::work router::work_of(active_request const& request, base::monotonic_time now) const {
  base::duration under_way{};
  for (auto const& [number, other] : m_requests) {
    bool const is_alike = other.is_attempting && other.route->name == request.route->name &&
                          other.service == request.service &&
                          other.current.model == request.current.model;
    if (is_alike) {
      under_way = std::max<base::duration>(under_way, now - other.current.began_at);
    }
  }
  auto const caller_time = allowed_time(request.facts, request.route, m_options.default_timeout);
  return {.learned = m_attempts.longest_usual_time(request),
          .under_way = under_way,
          // Not the request's own deadline, which the stop may have shortened.
          .deadline = request.began_at + caller_time};
}

bool router::may_begin_attempt(active_request const& request, base::monotonic_time now) const {
  return !m_stop.is_stopping() || m_stop.may_begin(work_of(request, now), now);
}

bool router::may_escalate(active_request const& request, base::monotonic_time now) const {
  if (!m_stop.is_stopping() || request.route->models.empty()) {
    return true;
  }
  auto escalated = request;
  escalated.current.model = request.route->models.back();
  return may_begin_attempt(escalated, now);
}

base::monotonic_time router::latest_begin(request_facts const& facts,
                                          base::monotonic_time now) const {
  auto const admitted = admit(*m_routes, facts);
  if (!m_stop.is_stopping() || !admitted) {
    return m_stop.limit(base::monotonic_time::max());
  }
  auto request = make_request({.admitted = *admitted,
                               .routes = m_routes,
                               .facts = facts,
                               .default_timeout = m_options.default_timeout},
                              now);
  choose_model(request, now);
  return m_stop.limit(m_stop.latest_begin(work_of(request, now)));
}

refusal router::refuse_stopping(active_request const& request) const {
  return request.describe(m_refusals.make(refusal_kind::stopping));
}

} // namespace catkinlanding::proxy
