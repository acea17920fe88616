#include <libraries/base/verify.h>
#include <libraries/sessions/pin_cache.h>

#include <algorithm>

namespace catkinlanding::sessions {

void pin_cache::store(session_key const& key, cached_pin const& confirmed) {
  if (auto const it = m_entries.find(key); it != m_entries.end()) {
    update(it->second.cached, confirmed);
    return;
  }
  evict_if_full();
  m_lru.push_back(key);
  m_entries.emplace(key, entry{.cached = confirmed, .lru_position = std::prev(m_lru.end())});
}

void pin_cache::update(cached_pin& cached, cached_pin const& confirmed) {
  if (confirmed.pin.sequence < cached.pin.sequence) {
    // A late confirmation of a pin that has been replaced since.
    return;
  }
  // A sequence number identifies one pin.
  CATKINLANDING_VERIFY(confirmed.pin.sequence > cached.pin.sequence || confirmed.pin == cached.pin);
  cached.pin = confirmed.pin;
  cached.revision = std::max(cached.revision, confirmed.revision);
  cached.requested_at = std::max(cached.requested_at, confirmed.requested_at);
}

pin_cache::cached_pin const* pin_cache::find(session_key const& key, base::monotonic_time now) {
  auto const it = m_entries.find(key);
  if (it == m_entries.end() || now >= it->second.cached.requested_at + m_options.validity) {
    return nullptr;
  }
  m_lru.splice(m_lru.end(), m_lru, it->second.lru_position);
  return &it->second.cached;
}

bool pin_cache::needs_refresh(session_key const& key, base::monotonic_time now) const {
  auto const it = m_entries.find(key);
  return it != m_entries.end() && now >= it->second.cached.requested_at + m_options.refresh_after;
}

void pin_cache::evict_if_full() {
  if (m_entries.size() >= m_options.max_pins) {
    m_entries.erase(m_lru.front());
    m_lru.pop_front();
  }
}

} // namespace catkinlanding::sessions
