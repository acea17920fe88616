#include <libraries/limits/share_relay.h>

#include <algorithm>

namespace catkinlanding::limits {

share_relay::share_relay(options options, base::monotonic_time started_at)
    : m_options(options), m_no_grants_before(started_at + options.lease), m_lessee(options.lessee),
      m_allocator({.instances = 0, .floor_permille = 0, .lease = options.lease},
                  m_no_grants_before) {}

bool share_relay::is_due(base::monotonic_time now) const {
  // An earlier request could confirm a smaller grant while sub-leases of an earlier process run.
  return now >= m_no_grants_before && m_lessee.is_due(now);
}

std::optional<share_request> share_relay::tick(shares const& deployment_limits,
                                               base::monotonic_time now) {
  if (!is_due(now)) {
    return std::nullopt;
  }
  // Until the sub-leases fit into the newest grant, the leader has to count the earlier ones.
  bool const confirms_active = m_allocator.fits(capacity(deployment_limits, true, now), now);
  return m_lessee.tick(m_allocator.demand(), now, confirms_active);
}

share_grant share_relay::receive(base::instance_id const& from, share_request const& request,
                                 shares const& deployment_limits, base::monotonic_time now) {
  auto const left = m_lessee.lease_end() - now;
  bool const has_share = left >= m_options.min_lease;
  auto const lease = has_share ? std::min<base::duration>(left, m_options.lease) : m_options.lease;
  return m_allocator.receive(from, request, capacity(deployment_limits, has_share, now), lease,
                             now);
}

shares share_relay::capacity(shares const& deployment_limits, bool has_share,
                             base::monotonic_time now) const {
  shares capacity;
  for (auto const& [key, limit] : deployment_limits) {
    auto const floor =
        share_allocator::floor_of(limit, m_options.floor_permille, m_options.floor_holders);
    auto const share = has_share ? m_lessee.share_of(key, now) : 0;
    capacity[key] = floor + std::min(share, limit - floor);
  }
  return capacity;
}

} // namespace catkinlanding::limits
