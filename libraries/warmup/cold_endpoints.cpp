#include <libraries/warmup/cold_endpoints.h>

namespace catkinlanding::warmup {

void cold_endpoints::note(base::endpoint_id const& endpoint, std::uint64_t incarnation,
                          base::service_id const& service, base::duration cold_left,
                          base::monotonic_time now) {
  if (cold_left <= base::duration::zero()) {
    m_cold.erase(endpoint);
    return;
  }
  m_cold[endpoint] = {
      .incarnation = incarnation, .service = service, .cold_until = now + cold_left};
}

void cold_endpoints::await_announcement(base::endpoint_id const& endpoint,
                                        std::uint64_t incarnation,
                                        base::service_id const& service) {
  m_cold[endpoint] = {
      .incarnation = incarnation, .service = service, .cold_until = base::monotonic_time::max()};
}

void cold_endpoints::sweep(
    base::monotonic_time now,
    std::function<bool(base::endpoint_id const&, cold_endpoint const&)> const& has_ended) {
  std::erase_if(m_cold, [&](auto const& item) {
    return now >= item.second.cold_until || has_ended(item.first, item.second);
  });
}

std::optional<double> cold_endpoints::rate_of(base::endpoint_id const& endpoint,
                                              std::uint64_t incarnation,
                                              base::monotonic_time now) const {
  auto const found = m_cold.find(endpoint);
  bool const is_cold = found != m_cold.end() && found->second.incarnation == incarnation &&
                       now < found->second.cold_until;
  auto const rate = is_cold ? m_rates.find(found->second.service) : m_rates.end();
  return rate == m_rates.end() ? std::nullopt : std::optional(rate->second);
}

std::map<base::service_id, std::size_t> cold_endpoints::count_by_service() const {
  std::map<base::service_id, std::size_t> counts;
  for (auto const& [endpoint, cold] : m_cold) {
    if (has_limit(cold.service)) {
      ++counts[cold.service];
    }
  }
  return counts;
}

} // namespace catkinlanding::warmup
