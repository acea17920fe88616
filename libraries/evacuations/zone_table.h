#pragma once

#include <libraries/evacuations/order.h>

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace catkinlanding::evacuations {

/// The latest order for each availability zone, as part of a replicated state. All instances that
/// record the same orders agree on the zones that are out of use.
class zone_table {
public:
  /// Bounds the memory that orders for unknown zones can take up; no deployment has as many zones.
  static constexpr std::size_t max_zones = 256;

  /// Records an order unless a later one for the zone is known, or the table is full.
  /// Returns whether that changed anything.
  bool record(order const& order);

  /// Whether another zone may be taken out of use.
  [[nodiscard]] bool has_room_for(base::availability_zone_id const& zone) const;
  [[nodiscard]] bool is_out_of_use(base::availability_zone_id const& zone) const {
    return takes_out_of_use(number_of(zone));
  }
  /// The number of the zone's latest order; 0 if none is known.
  [[nodiscard]] order_number number_of(base::availability_zone_id const& zone) const;
  /// The number of the latest order for any zone; 0 if there is none.
  [[nodiscard]] order_number last_number() const { return m_last_number; }
  [[nodiscard]] std::set<base::availability_zone_id> zones_out_of_use() const;
  /// The latest order for each zone, in the order of their numbers.
  [[nodiscard]] std::vector<order> all() const;

private:
  /// Forgets the zone that was put back into use first. Returns whether there was one.
  bool forget_oldest_in_use();

  std::map<base::availability_zone_id, order_number> m_numbers;
  order_number m_last_number = 0;
};

} // namespace catkinlanding::evacuations
