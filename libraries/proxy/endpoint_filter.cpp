#include <libraries/proxy/endpoint_filter.h>

#include <algorithm>

namespace catkinlanding::proxy {

endpoint_filter::endpoints endpoint_filter::eligible(endpoints const& all,
                                                     base::service_id const& service,
                                                     request_facts const& facts) const {
  return m_options.versions.eligible_endpoints(all, service, facts);
}

endpoint_filter::endpoints endpoint_filter::sendable(endpoint_table const& table,
                                                     active_request const& request) const {
  auto const& service = request.service;
  auto const& facts = request.facts;
  auto all = m_options.notices.without_leaving(table.ready(service));
  std::erase_if(all, [&](known_endpoint const* one) {
    return request.has_been_sent_to(one->announcement.id);
  });
  auto const eligible_endpoints = eligible(all, service, facts);
  auto found = without_wait(eligible_endpoints);
  if (!found.empty() || eligible_endpoints.empty()) {
    return found;
  }
  auto const others = without_wait(all);
  // A trial uses few endpoints of its version; others can take their place.
  auto const& version = eligible_endpoints.front()->announcement.version;
  found = eligible(others, service, facts);
  std::erase_if(found,
                [&](known_endpoint const* one) { return one->announcement.version != version; });
  return found.empty() ? m_options.versions.old_endpoints(others, service) : found;
}

std::optional<availability> endpoint_filter::availability(endpoint_table const& table,
                                                          active_request const& request) const {
  auto const ready = m_options.notices.without_leaving(table.ready(request.service));
  auto const found = eligible(ready, request.service, request.facts);
  return found.empty() ? std::nullopt : std::optional(availability(found));
}

availability endpoint_filter::availability(endpoints const& endpoints) const {
  proxy::availability found{.wait = deferral::unlimited};
  bool accepts_now = false;
  double rate = 0.0;
  for (auto const* one : endpoints) {
    auto const deferral = wait_for(*one);
    auto const backoff = std::max<base::duration>(one->backoff_until - m_options.now, {});
    auto const wait = deferral ? std::max(deferral->wait, backoff) : backoff;
    accepts_now |= !deferral;
    if (wait <= found.wait) {
      found.wait = wait;
      found.deferral = deferral;
    }
    found.own_outstanding += one->own_outstanding;
    bool const has_rate = deferral && deferral->spacing > base::duration::zero();
    rate += has_rate ? 1.0 / std::chrono::duration<double>(deferral->spacing).count() : 0.0;
  }
  if (found.wait == deferral::unlimited) {
    found.wait = m_options.news_interval;
    found.deferral->wait = found.wait;
  }
  if (accepts_now) {
    found.deferral.reset();
  } else if (rate > 0.0) {
    found.spacing = std::chrono::ceil<base::duration>(std::chrono::duration<double>(1.0 / rate));
  }
  return found;
}

std::optional<deferral> endpoint_filter::wait_for(known_endpoint const& endpoint) const {
  auto const wait =
      m_options.notices.wait_for(endpoint.incarnation(), m_options.is_connected, m_options.now);
  return wait ? wait : m_options.overload.wait_for(endpoint, m_options.now);
}

endpoint_filter::endpoints endpoint_filter::without_wait(endpoints endpoints) const {
  std::erase_if(endpoints, [&](known_endpoint const* one) { return wait_for(*one).has_value(); });
  return endpoints;
}

} // namespace catkinlanding::proxy
