#include <libraries/evacuations/proposals.h>

#include <algorithm>

namespace catkinlanding::evacuations {

void proposals::update(std::uint64_t term, zone_table const& table) {
  if (term != m_term) {
    m_term = term;
    m_last_number = 0;
    m_pending.clear();
  }
  // Orders of one term are applied in the order of their numbers.
  std::erase_if(m_pending, [&](auto const& item) { return item.second <= table.last_number(); });
}

std::optional<order> proposals::make_order(base::availability_zone_id const& zone,
                                           bool is_out_of_use, zone_table const& table) const {
  auto const pending = m_pending.find(zone);
  bool const is_repeated =
      pending != m_pending.end() && takes_out_of_use(pending->second) == is_out_of_use;
  if (is_repeated) {
    return order{.zone = zone, .number = pending->second};
  }
  bool const has_room = table.has_room_for(zone) && m_pending.size() < zone_table::max_zones;
  if (!has_room && pending == m_pending.end()) {
    return std::nullopt;
  }
  auto const next = std::max(m_last_number, table.last_number()) + 1;
  return order{.zone = zone, .number = takes_out_of_use(next) == is_out_of_use ? next : next + 1};
}

void proposals::note_proposed(order const& order) {
  m_last_number = std::max(m_last_number, order.number);
  m_pending[order.zone] = order.number;
}

} // namespace catkinlanding::evacuations
