#include <libraries/requests/intake.h>
#include <libraries/requests/refusals.h>

#include <algorithm>

namespace catkinlanding::requests {

namespace {

/// Of a request whose caller states none and whose class is unknown.
constexpr base::duration default_deadline = std::chrono::seconds(30);

} // namespace

std::optional<failure> intake::admit(active_request& request, environment const& environment) {
  auto const& incoming = request.incoming;
  auto const* customer = environment.document.find_customer_by_key(incoming.customer_key);
  if (customer == nullptr) {
    return refusal(failure_kind::unknown_customer);
  }
  request.customer = customer->id;
  request.request_class = incoming.request_class.value_or(customer->stewardship.request_class);
  base::duration deadline = default_deadline;
  if (auto const* known = environment.document.find_class(request.request_class)) {
    request.priority = known->priority;
    request.quality_target = known->quality_target;
    deadline = known->deadline;
  }
  request.expires_at = request.arrived_at + incoming.deadline.value_or(deadline);
  request.id = incoming.idempotency_key
                   ? base::request_id{customer->id.value + "/" + *incoming.idempotency_key}
                   : base::request_id{m_self.value + "." + std::to_string(m_incarnation) + "." +
                                      std::to_string(++m_last_request)};
  if (auto const* target = std::get_if<service_target>(&incoming.target)) {
    auto const* service = environment.document.find_service(target->service);
    request.is_idempotent = service != nullptr && service->is_idempotent;
    if (!request.is_idempotent && incoming.idempotency_key) {
      request.holder = claims::holder{
          .instance = m_self, .incarnation = m_incarnation, .number = incoming.number};
    }
    if (service == nullptr) {
      return refusal(failure_kind::unknown_service);
    }
    auto const& allowed = customer->services;
    if (std::ranges::find(allowed, target->service) == allowed.end()) {
      return refusal(failure_kind::not_allowed);
    }
  }
  auto const* completion = std::get_if<completion_target>(&incoming.target);
  bool const has_session = incoming.session && !incoming.session->is_empty();
  if (environment.pins != nullptr && completion != nullptr && has_session) {
    request.session = sessions::session_key{
        .customer = customer->id, .session = *incoming.session, .model = completion->model};
  }
  if (m_is_draining) {
    return refusal(failure_kind::shutting_down, base::duration::zero());
  }
  if (environment.is_billing_full) {
    return refusal(failure_kind::overloaded, news_interval);
  }
  return std::nullopt;
}

} // namespace catkinlanding::requests
