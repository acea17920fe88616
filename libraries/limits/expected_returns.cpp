#include <libraries/limits/expected_returns.h>

namespace catkinlanding::limits {

expected_returns::callers const& expected_returns::of(group const& group,
                                                      base::monotonic_time now) {
  static callers const none;
  auto const found = m_groups.find(group);
  if (found == m_groups.end()) {
    return none;
  }
  drop_due(found->second, now);
  return found->second;
}

void expected_returns::add(group const& group, base::monotonic_time at, double cost,
                           base::monotonic_time now) {
  if (m_count >= m_options.max_callers) {
    sweep(now);
  }
  if (m_count < m_options.max_callers) {
    m_groups[group].emplace(at, cost);
    ++m_count;
  }
}

void expected_returns::drop_due(callers& callers, base::monotonic_time now) {
  auto const first_to_come = callers.upper_bound(now);
  m_count -= static_cast<std::size_t>(std::distance(callers.begin(), first_to_come));
  callers.erase(callers.begin(), first_to_come);
}

void expected_returns::sweep(base::monotonic_time now) {
  for (auto it = m_groups.begin(); it != m_groups.end();) {
    drop_due(it->second, now);
    it = it->second.empty() ? m_groups.erase(it) : std::next(it);
  }
}

} // namespace catkinlanding::limits
