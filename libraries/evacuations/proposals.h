#pragma once

#include <libraries/evacuations/zone_table.h>

#include <map>
#include <optional>

namespace catkinlanding::evacuations {

/// The orders that a leader proposed and that are not applied yet. Chooses the numbers of orders,
/// so that the order which is committed last has the highest number of its zone.
class proposals {
public:
  /// Forgets the orders that were applied, and all orders of former terms: the table contains those
  /// of them that were committed.
  void update(std::uint64_t term, zone_table const& table);

  /// Whether an order for the zone is not applied yet.
  [[nodiscard]] bool is_pending(base::availability_zone_id const& zone) const {
    return m_pending.contains(zone);
  }
  /// The order to propose, so that the zone is out of use or in use afterwards. It is the zone's
  /// last proposed order if that does the same. Nothing if there are too many zones.
  [[nodiscard]] std::optional<order> make_order(base::availability_zone_id const& zone,
                                                bool is_out_of_use, zone_table const& table) const;
  /// Records an order that the log accepted.
  void note_proposed(order const& order);

private:
  std::uint64_t m_term = 0;
  order_number m_last_number = 0;
  /// The highest number proposed for each zone with an order that is not applied yet.
  std::map<base::availability_zone_id, order_number> m_pending;
};

} // namespace catkinlanding::evacuations
