#include <libraries/proxy/endpoint_registry.h>

namespace catkinlanding::proxy {

namespace {

endpoint_state state_of(endpoint_announcement const& announcement) {
  return announcement.is_leaving ? endpoint_state::leaving : endpoint_state::ready;
}

/// Whether the announcements agree in everything that other instances need to know.
bool has_same_routing_fields(endpoint_announcement const& left,
                             endpoint_announcement const& right) {
  return left.service == right.service && left.address == right.address &&
         left.zone == right.zone && left.version == right.version && left.slots == right.slots &&
         left.number.incarnation == right.number.incarnation;
}

} // namespace

announcement_outcome endpoint_registry::announce(endpoint_announcement const& announcement,
                                                 base::monotonic_time now) {
  auto const found = m_endpoints.find(announcement.id);
  if (found == m_endpoints.end()) {
    if (m_endpoints.size() >= m_options.max_endpoints) {
      return announcement_outcome::refused;
    }
    if (is_address_taken(announcement, now)) {
      return announcement_outcome::stale;
    }
    retire_previous_holder(announcement);
    auto& added = m_endpoints[announcement.id];
    added = {.record = {.announcement = announcement}, .last_announced_at = now};
    set_state(added, state_of(announcement));
    return announcement_outcome::changed;
  }
  auto& known = found->second;
  bool const is_later_start =
      announcement.number.incarnation > known.record.announcement.number.incarnation;
  bool const is_stale = announcement.number <= known.record.announcement.number ||
                        (known.record.state == endpoint_state::gone && !is_later_start);
  if (is_stale || is_address_taken(announcement, now)) {
    return announcement_outcome::stale;
  }
  // A leaving endpoint becomes ready again only with a new incarnation.
  bool const stays_leaving =
      known.record.state == endpoint_state::leaving && !is_later_start && !announcement.is_leaving;
  auto const state = stays_leaving ? endpoint_state::leaving : state_of(announcement);
  bool const is_change = state != known.record.state ||
                         !has_same_routing_fields(announcement, known.record.announcement);
  bool const becomes_cold = state == endpoint_state::ready &&
                            known.record.announcement.warmup_left == base::duration::zero() &&
                            announcement.warmup_left > base::duration::zero();
  retire_previous_holder(announcement);
  known.last_announced_at = now;
  known.record.announcement = announcement;
  if (is_change || becomes_cold) {
    set_state(known, state);
  }
  return is_change ? announcement_outcome::changed : announcement_outcome::refreshed;
}

announcement_outcome endpoint_registry::withdraw(base::endpoint_id const& id,
                                                 base::monotonic_time now) {
  auto const found = m_endpoints.find(id);
  if (found == m_endpoints.end()) {
    return announcement_outcome::stale;
  }
  auto& known = found->second;
  known.last_announced_at = now;
  if (known.record.state == endpoint_state::gone) {
    return announcement_outcome::refreshed;
  }
  set_state(known, endpoint_state::gone);
  return announcement_outcome::changed;
}

bool endpoint_registry::note_departure(endpoint_departure const& departure) {
  auto const found = m_endpoints.find(departure.source.endpoint);
  if (found == m_endpoints.end()) {
    return false;
  }
  auto& known = found->second;
  bool const is_later_start =
      known.record.announcement.number.incarnation > departure.source.incarnation;
  auto const state = known.record.state;
  bool const is_departed = state == endpoint_state::gone || state == departure.state;
  if (is_later_start || is_departed) {
    return false;
  }
  set_state(known, departure.state);
  return true;
}

void endpoint_registry::adopt(endpoint_record const& record, base::monotonic_time now) {
  auto& known = m_endpoints[record.announcement.id];
  if (known.record.announcement.number > record.announcement.number) {
    return;
  }
  known.record = record;
  known.last_announced_at = now;
  set_state(known, record.state);
}

bool endpoint_registry::tick(base::monotonic_time now) {
  bool is_changed = false;
  for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
    auto& entry = it->second;
    bool const has_ended =
        entry.record.state == endpoint_state::gone || entry.record.state == endpoint_state::silent;
    if (has_ended && now >= entry.last_announced_at + m_options.retention) {
      auto const holder = m_addresses.find(entry.record.announcement.address);
      if (holder != m_addresses.end() && holder->second == it->first) {
        m_addresses.erase(holder);
      }
      it = m_endpoints.erase(it);
      continue;
    }
    if (!has_ended && now >= entry.last_announced_at + m_options.silence_timeout) {
      set_state(entry, endpoint_state::silent);
      is_changed = true;
    }
    ++it;
  }
  return is_changed;
}

void endpoint_registry::reset_silence_timers(base::monotonic_time now) {
  for (auto& [id, entry] : m_endpoints) {
    if (entry.record.state != endpoint_state::gone) {
      entry.last_announced_at = now;
    }
  }
}

std::vector<endpoint_record> endpoint_registry::changes_since(std::uint64_t revision) const {
  std::vector<endpoint_record> changes;
  for (auto const& [id, entry] : m_endpoints) {
    if (entry.record.revision > revision) {
      changes.push_back(entry.record);
    }
  }
  return changes;
}

endpoint_record const* endpoint_registry::find(base::endpoint_id const& id) const {
  auto const found = m_endpoints.find(id);
  return found == m_endpoints.end() ? nullptr : &found->second.record;
}

void endpoint_registry::set_state(entry& entry, endpoint_state state) {
  entry.record.state = state;
  entry.record.revision = ++m_revision;
  if (state != endpoint_state::gone) {
    m_addresses[entry.record.announcement.address] = entry.record.announcement.id;
  }
}

endpoint_registry::entry*
endpoint_registry::find_address_holder(endpoint_announcement const& announcement) {
  auto const holder = m_addresses.find(announcement.address);
  if (holder == m_addresses.end() || holder->second == announcement.id) {
    return nullptr;
  }
  auto const found = m_endpoints.find(holder->second);
  if (found == m_endpoints.end()) {
    return nullptr;
  }
  auto& other = found->second;
  bool const holds_address = other.record.announcement.address == announcement.address &&
                             other.record.state != endpoint_state::gone;
  return holds_address ? &other : nullptr;
}

bool endpoint_registry::is_address_taken(endpoint_announcement const& announcement,
                                         base::monotonic_time now) {
  auto const* current_holder = find_address_holder(announcement);
  if (current_holder == nullptr) {
    return false;
  }
  auto const known_incarnation = current_holder->record.announcement.number.incarnation;
  auto const announced_incarnation = announcement.number.incarnation;
  bool const is_alive = current_holder->record.state == endpoint_state::ready &&
                        now < current_holder->last_announced_at + m_options.address_conflict_window;
  return known_incarnation > announced_incarnation ||
         (known_incarnation == announced_incarnation && is_alive);
}

void endpoint_registry::retire_previous_holder(endpoint_announcement const& announcement) {
  if (auto* current_holder = find_address_holder(announcement)) {
    set_state(*current_holder, endpoint_state::gone);
  }
}

} // namespace catkinlanding::proxy
