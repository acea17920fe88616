#include <libraries/limits/share_lessee.h>

namespace catkinlanding::limits {

std::optional<share_request> share_lessee::tick(shares const& demand, base::monotonic_time now,
                                                bool confirms_active) {
  if (!is_due(now)) {
    return std::nullopt;
  }
  m_due = now + m_options.interval;
  auto const sequence = m_next_sequence++;
  m_pending[sequence] = now;
  if (m_pending.size() > m_options.max_pending) {
    m_pending.erase(m_pending.begin());
  }
  m_confirmed_sequence = confirms_active ? m_active_sequence : m_confirmed_sequence;
  return share_request{
      .sequence = sequence, .active_sequence = m_confirmed_sequence, .demand = demand};
}

void share_lessee::receive(share_grant const& grant, base::monotonic_time now) {
  auto const it = m_pending.find(grant.sequence);
  // The lease runs from when the request was sent here, and from when it arrived at the allocator,
  // so it ends here no later than there.
  if (it == m_pending.end() || grant.sequence <= m_active_sequence ||
      now >= it->second + grant.lease) {
    return;
  }
  m_lease_end = it->second + grant.lease;
  m_active_sequence = grant.sequence;
  m_shares = grant.shares;
  m_pending.erase(m_pending.begin(), std::next(it));
}

std::uint64_t share_lessee::share_of(share_key const& key, base::monotonic_time now) const {
  auto const it = m_shares.find(key);
  return now >= m_lease_end || it == m_shares.end() ? 0 : it->second;
}

} // namespace catkinlanding::limits
