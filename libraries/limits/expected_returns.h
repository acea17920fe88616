#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <compare>
#include <cstdint>
#include <map>

namespace catkinlanding::limits {

/// The callers who were refused and told when to come back, until that time. Whoever is refused
/// after them is told to come back after them, so that all who come as told find room.
class expected_returns {
public:
  struct options {
    /// Callers beyond this number are not recorded, which bounds the state.
    std::size_t max_callers = 1024;
  };

  /// Callers of one customer and priority, who are served in the order of their arrival.
  struct group {
    base::customer_id customer;
    std::uint32_t priority = 0;

    auto operator<=>(group const&) const = default;
  };

  /// The work of each caller, in seconds of a slot, by the time of its return.
  using callers = std::multimap<base::monotonic_time, double>;

  explicit expected_returns(options options) : m_options(options) {}

  /// The callers of the group that are still to come.
  [[nodiscard]] callers const& of(group const& group, base::monotonic_time now);
  /// Records that a caller was told to come back at this time.
  void add(group const& group, base::monotonic_time at, double cost, base::monotonic_time now);

private:
  void drop_due(callers& callers, base::monotonic_time now);
  void sweep(base::monotonic_time now);

  options m_options;
  std::map<group, callers> m_groups;
  std::size_t m_count = 0;
};

} // namespace catkinlanding::limits
