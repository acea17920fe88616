#pragma once

#include <libraries/sessions/command.h>

#include <list>
#include <map>

namespace catkinlanding::sessions {

/// An LRU cache of the pins that the log granted or confirmed to this entry instance.
class pin_cache {
public:
  struct options {
    /// Far below the time after which the log expires a pin, so that an instance that was suspended
    /// or disconnected for longer does not use an expired pin.
    base::duration validity = std::chrono::minutes(40);
    /// A pin that is used after this long is renewed, so that the log does not expire sessions that
    /// are in use.
    base::duration refresh_after = std::chrono::minutes(10);
    std::size_t max_pins = 20'000;
  };

  struct cached_pin {
    sessions::pin pin;
    /// The catalogue's revision when the log last confirmed the pin.
    catalogue::revision revision = 0;
    base::monotonic_time requested_at{};
  };

  explicit pin_cache(options options) : m_options(options) {}

  /// Stores a pin that the log granted or confirmed. `requested_at` is when its proposal was
  /// submitted.
  void store(session_key const& key, cached_pin const& confirmed);

  /// The session's pin, or null if none is cached or the log may have expired it. The pointer is
  /// valid until the next call of `store`.
  [[nodiscard]] cached_pin const* find(session_key const& key, base::monotonic_time now);

  /// Whether a cached pin is due for renewal.
  [[nodiscard]] bool needs_refresh(session_key const& key, base::monotonic_time now) const;

  [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
  struct entry {
    cached_pin cached;
    std::list<session_key>::iterator lru_position;
  };

  static void update(cached_pin& cached, cached_pin const& confirmed);
  void evict_if_full();

  options m_options;
  std::map<session_key, entry> m_entries;
  /// The sessions, least recently used first.
  std::list<session_key> m_lru;
};

} // namespace catkinlanding::sessions
