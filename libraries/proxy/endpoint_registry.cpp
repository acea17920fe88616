#include <libraries/proxy/endpoint_registry.h>

namespace catkinlanding::proxy {

namespace {

endpoint_state state_of(endpoint_word const& word) {
  return word.is_leaving ? endpoint_state::leaving : endpoint_state::ready;
}

/// Whether instances need to hear of the difference.
bool is_same_to_instances(endpoint_word const& left, endpoint_word const& right) {
  return left.service == right.service && left.address == right.address &&
         left.zone == right.zone && left.version == right.version && left.slots == right.slots &&
         left.number.incarnation == right.number.incarnation;
}

} // namespace

word_outcome endpoint_registry::hear(endpoint_word const& word, base::monotonic_time now) {
  auto const found = m_endpoints.find(word.id);
  if (found == m_endpoints.end()) {
    if (m_endpoints.size() >= m_options.most_endpoints) {
      return word_outcome::refused;
    }
    if (is_address_taken(word, now)) {
      return word_outcome::stale;
    }
    end_predecessors(word);
    auto& added = m_endpoints[word.id];
    added = {.record = {.word = word}, .heard_at = now};
    change(added, state_of(word));
    return word_outcome::changed;
  }
  auto& known = found->second;
  bool const is_later_start = word.number.incarnation > known.record.word.number.incarnation;
  bool const is_stale = word.number <= known.record.word.number ||
                        (known.record.state == endpoint_state::gone && !is_later_start);
  if (is_stale || is_address_taken(word, now)) {
    return word_outcome::stale;
  }
  // An endpoint that leaves does not come back without a new start.
  bool const stays_leaving =
      known.record.state == endpoint_state::leaving && !is_later_start && !word.is_leaving;
  auto const state = stays_leaving ? endpoint_state::leaving : state_of(word);
  bool const is_change =
      state != known.record.state || !is_same_to_instances(word, known.record.word);
  end_predecessors(word);
  known.heard_at = now;
  known.record.word = word;
  if (is_change) {
    change(known, state);
  }
  return is_change ? word_outcome::changed : word_outcome::refreshed;
}

word_outcome endpoint_registry::withdraw(base::endpoint_id const& id, base::monotonic_time now) {
  auto const found = m_endpoints.find(id);
  if (found == m_endpoints.end()) {
    return word_outcome::stale;
  }
  auto& known = found->second;
  known.heard_at = now;
  if (known.record.state == endpoint_state::gone) {
    return word_outcome::refreshed;
  }
  change(known, endpoint_state::gone);
  return word_outcome::changed;
}

void endpoint_registry::adopt(endpoint_record const& record, base::monotonic_time now) {
  auto& known = m_endpoints[record.word.id];
  if (known.record.word.number > record.word.number) {
    return;
  }
  known.record = record;
  known.heard_at = now;
  change(known, record.state);
}

bool endpoint_registry::tick(base::monotonic_time now) {
  bool is_changed = false;
  for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
    auto& entry = it->second;
    bool const has_ended =
        entry.record.state == endpoint_state::gone || entry.record.state == endpoint_state::silent;
    if (has_ended && now >= entry.heard_at + m_options.memory) {
      auto const holder = m_addresses.find(entry.record.word.address);
      if (holder != m_addresses.end() && holder->second == it->first) {
        m_addresses.erase(holder);
      }
      it = m_endpoints.erase(it);
      continue;
    }
    if (!has_ended && now >= entry.heard_at + m_options.silence) {
      change(entry, endpoint_state::silent);
      is_changed = true;
    }
    ++it;
  }
  return is_changed;
}

void endpoint_registry::forgive_silence(base::monotonic_time now) {
  for (auto& [id, entry] : m_endpoints) {
    if (entry.record.state != endpoint_state::gone) {
      entry.heard_at = now;
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

void endpoint_registry::change(entry& entry, endpoint_state state) {
  entry.record.state = state;
  entry.record.revision = ++m_revision;
  if (state != endpoint_state::gone) {
    m_addresses[entry.record.word.address] = entry.record.word.id;
  }
}

endpoint_registry::entry* endpoint_registry::rival_of(endpoint_word const& word) {
  auto const holder = m_addresses.find(word.address);
  if (holder == m_addresses.end() || holder->second == word.id) {
    return nullptr;
  }
  auto const found = m_endpoints.find(holder->second);
  if (found == m_endpoints.end()) {
    return nullptr;
  }
  auto& other = found->second;
  bool const holds_it =
      other.record.word.address == word.address && other.record.state != endpoint_state::gone;
  return holds_it ? &other : nullptr;
}

bool endpoint_registry::is_address_taken(endpoint_word const& word, base::monotonic_time now) {
  auto const* rival = rival_of(word);
  if (rival == nullptr) {
    return false;
  }
  auto const known = rival->record.word.number.incarnation;
  auto const said = word.number.incarnation;
  bool const is_alive = rival->record.state == endpoint_state::ready &&
                        now < rival->heard_at + m_options.rival_patience;
  return known > said || (known == said && is_alive);
}

void endpoint_registry::end_predecessors(endpoint_word const& word) {
  if (auto* rival = rival_of(word)) {
    change(*rival, endpoint_state::gone);
  }
}

} // namespace catkinlanding::proxy
