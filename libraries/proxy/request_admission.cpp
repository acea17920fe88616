#include <libraries/proxy/request_admission.h>

#include <algorithm>

namespace catkinlanding::proxy {

tl::expected<admission, refusal_kind> admit(route_table const& routes, request_facts const& facts) {
  if (routes.revision() == 0) {
    return tl::unexpected(refusal_kind::no_document);
  }
  auto const* route = routes.find(facts.host, facts.path);
  if (route == nullptr) {
    return tl::unexpected(refusal_kind::unknown_route);
  }
  if (!routes.has_customers() || route->is_public) {
    return admission{.route = route, .customer = {}, .priority = route->priority};
  }
  auto const* customer = facts.key ? routes.find_customer(*facts.key) : nullptr;
  if (customer == nullptr) {
    return tl::unexpected(refusal_kind::unknown_key);
  }
  return admission{.route = route,
                   .customer = customer->id,
                   .priority = customer->priority.value_or(route->priority)};
}

base::duration allowed_time(request_facts const& facts, route const* route,
                            base::duration default_timeout) {
  auto const caller_timeout = facts.caller_timeout.value_or(default_timeout);
  return route == nullptr ? caller_timeout : std::min(caller_timeout, route->timeout);
}

active_request make_request(admitted_request made, base::monotonic_time now) {
  auto const* route = made.admitted.route;
  active_request request;
  request.customer = made.admitted.customer;
  request.priority = made.admitted.priority;
  request.routes = std::move(made.routes);
  request.route = route;
  request.service = select_service(*route, made.facts.id);
  request.began_at = now - made.facts.waited;
  request.deadline = request.began_at + allowed_time(made.facts, route, made.default_timeout);
  request.traits = traits_of(made.facts);
  request.endings = made.facts.endings_before;
  request.facts = std::move(made.facts);
  return request;
}

} // namespace catkinlanding::proxy
