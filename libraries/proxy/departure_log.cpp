#include <libraries/proxy/departure_log.h>

#include <algorithm>

namespace catkinlanding::proxy {

bool departure_log::record(endpoint_departure const& departure) {
  if (covers(departure)) {
    return false;
  }
  m_entries[departure.source.endpoint] = {.departure = departure, .number = ++m_last_number};
  if (m_entries.size() > max_departures) {
    drop_oldest();
  }
  return true;
}

bool departure_log::covers(endpoint_departure const& departure) const {
  auto const* known = find(departure.source.endpoint);
  if (known == nullptr) {
    return false;
  }
  bool const is_later_start = known->source.incarnation > departure.source.incarnation;
  bool const is_same_start = known->source.incarnation == departure.source.incarnation;
  bool const is_implied = known->state == departure.state || known->state == endpoint_state::gone;
  return is_later_start || (is_same_start && is_implied);
}

endpoint_departure const* departure_log::find(base::endpoint_id const& id) const {
  auto const found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second.departure;
}

std::vector<endpoint_departure> departure_log::all() const {
  std::vector<endpoint_departure> departures;
  departures.reserve(m_entries.size());
  for (auto const& [id, entry] : m_entries) {
    departures.push_back(entry.departure);
  }
  return departures;
}

std::vector<endpoint_departure>
departure_log::take(std::function<bool(base::endpoint_id const&)> const& is_taken) {
  std::vector<endpoint_departure> taken;
  std::erase_if(m_entries, [&](auto const& item) {
    bool const is_match = is_taken(item.first);
    if (is_match) {
      taken.push_back(item.second.departure);
    }
    return is_match;
  });
  return taken;
}

void departure_log::append(endpoint_departure const& departure) {
  m_entries[departure.source.endpoint] = {.departure = departure, .number = ++m_last_number};
}

void departure_log::drop_oldest() {
  m_entries.erase(
      std::ranges::min_element(m_entries, {}, [](auto const& item) { return item.second.number; }));
}

} // namespace catkinlanding::proxy
