#pragma once

#include <libraries/base/time.h>

#include <cstdint>
#include <iterator>
#include <map>

namespace catkinlanding::limits {

/// The callers who were refused and told when to come back, until that time. Whoever is refused
/// after them is told to come back after them, so that all who come as told find room. Callers of
/// one group wait for the same capacity.
template<class Group>
class expected_returns {
public:
  struct options {
    /// Callers beyond this number are not recorded, which bounds the state.
    std::size_t max_callers = 1024;
  };

  /// The work of each caller, in seconds of a slot, by the time of its return.
  using callers = std::multimap<base::monotonic_time, double>;

  explicit expected_returns(options options) : m_options(options) {}

  /// The callers of the group that are still to come.
  [[nodiscard]] callers const& of(Group const& group, base::monotonic_time now) {
    static callers const none;
    auto const found = m_groups.find(group);
    if (found == m_groups.end()) {
      return none;
    }
    drop_due(found->second, now);
    return found->second;
  }

  /// Records that a caller was told to come back at this time.
  void add(Group const& group, base::monotonic_time at, double cost, base::monotonic_time now) {
    if (m_count >= m_options.max_callers) {
      sweep(now);
    }
    if (m_count < m_options.max_callers) {
      m_groups[group].emplace(at, cost);
      ++m_count;
    }
  }

private:
  void drop_due(callers& callers, base::monotonic_time now) {
    auto const first_to_come = callers.upper_bound(now);
    m_count -= static_cast<std::size_t>(std::distance(callers.begin(), first_to_come));
    callers.erase(callers.begin(), first_to_come);
  }

  void sweep(base::monotonic_time now) {
    for (auto it = m_groups.begin(); it != m_groups.end();) {
      drop_due(it->second, now);
      it = it->second.empty() ? m_groups.erase(it) : std::next(it);
    }
  }

  options m_options;
  std::map<Group, callers> m_groups;
  std::size_t m_count = 0;
};

} // namespace catkinlanding::limits
