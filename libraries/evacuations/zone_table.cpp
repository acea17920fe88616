#include <libraries/evacuations/zone_table.h>

#include <algorithm>

namespace catkinlanding::evacuations {

bool zone_table::record(order const& order) {
  auto const known = m_numbers.find(order.zone);
  if (known != m_numbers.end()) {
    if (order.number <= known->second) {
      return false;
    }
    known->second = order.number;
  } else {
    if (m_numbers.size() >= max_zones && !forget_oldest_in_use()) {
      return false;
    }
    m_numbers[order.zone] = order.number;
  }
  m_last_number = std::max(m_last_number, order.number);
  return true;
}

bool zone_table::has_room_for(base::availability_zone_id const& zone) const {
  auto const is_in_use = [](auto const& item) { return !takes_out_of_use(item.second); };
  return m_numbers.contains(zone) || m_numbers.size() < max_zones ||
         std::ranges::any_of(m_numbers, is_in_use);
}

order_number zone_table::number_of(base::availability_zone_id const& zone) const {
  auto const found = m_numbers.find(zone);
  return found == m_numbers.end() ? 0 : found->second;
}

std::set<base::availability_zone_id> zone_table::zones_out_of_use() const {
  std::set<base::availability_zone_id> zones;
  for (auto const& [zone, number] : m_numbers) {
    if (takes_out_of_use(number)) {
      zones.insert(zone);
    }
  }
  return zones;
}

std::vector<order> zone_table::all() const {
  std::vector<order> orders;
  orders.reserve(m_numbers.size());
  for (auto const& [zone, number] : m_numbers) {
    orders.push_back({.zone = zone, .number = number});
  }
  std::ranges::sort(orders, {}, &order::number);
  return orders;
}

bool zone_table::forget_oldest_in_use() {
  auto oldest = m_numbers.end();
  for (auto it = m_numbers.begin(); it != m_numbers.end(); ++it) {
    bool const is_older = oldest == m_numbers.end() || it->second < oldest->second;
    if (!takes_out_of_use(it->second) && is_older) {
      oldest = it;
    }
  }
  if (oldest == m_numbers.end()) {
    return false;
  }
  m_numbers.erase(oldest);
  return true;
}

} // namespace catkinlanding::evacuations
