#include <libraries/proxy/endpoint_filter.h>

#include <algorithm>

namespace catkinlanding::proxy {

endpoint_filter::endpoints endpoint_filter::eligible(endpoints const& all,
                                                     base::service_id const& service,
                                                     request_facts const& facts) const {
  return m_options.versions.eligible_endpoints(all, service, facts);
}

endpoint_filter::endpoints endpoint_filter::sendable(endpoints const& eligible_endpoints,
                                                     endpoints const& all,
                                                     base::service_id const& service,
                                                     request_facts const& facts) const {
  auto found = within_rate(eligible_endpoints);
  if (!found.empty() || eligible_endpoints.empty()) {
    return found;
  }
  // A trial uses few endpoints of its version; others can take their place.
  auto const& version = eligible_endpoints.front()->announcement.version;
  found = eligible(within_rate(all), service, facts);
  std::erase_if(found,
                [&](known_endpoint const* one) { return one->announcement.version != version; });
  return found;
}

base::duration endpoint_filter::wait_for(endpoints const& endpoints) const {
  auto next = base::monotonic_time::max();
  for (auto const* one : endpoints) {
    next = std::min(next, m_options.rates.next_send_at(one->incarnation(), m_options.is_connected,
                                                       m_options.now));
  }
  return next == base::monotonic_time::max() ? base::duration::max() : next - m_options.now;
}

endpoint_filter::endpoints endpoint_filter::within_rate(endpoints endpoints) const {
  std::erase_if(endpoints, [&](known_endpoint const* one) {
    return m_options.rates.next_send_at(one->incarnation(), m_options.is_connected, m_options.now) >
           m_options.now;
  });
  return endpoints;
}

} // namespace catkinlanding::proxy
