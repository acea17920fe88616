#pragma once

#include <libraries/sessions/command.h>

#include <list>
#include <map>

namespace catkinlanding::sessions {

/// The pins that one entry instance learnt from the log. The pin used longest ago makes room for
/// a new one; the log still has it.
class pin_cache {
public:
  struct options {
    /// Far below the time after which the log forgets a pin. An instance that was frozen or cut
    /// off for longer must not act on what it learnt before.
    base::duration validity = std::chrono::minutes(40);
    /// The log is asked again on use after this long, so that it keeps sessions that are in use.
    base::duration refresh_after = std::chrono::minutes(10);
    std::size_t max_pins = 20'000;
  };

  struct cached_pin {
    sessions::pin pin;
    /// The catalogue's revision when the log last confirmed it.
    catalogue::revision revision = 0;
    base::monotonic_time requested_at{};
  };

  explicit pin_cache(options options) : m_options(options) {}

  /// Takes what the log granted or confirmed on a proposal that was submitted at `requested_at`.
  void learn(session_key const& key, cached_pin const& confirmed);

  /// The session's pin, or null where none is known that the log surely still has. It stays in
  /// place until the next call of `learn`.
  [[nodiscard]] cached_pin const* find(session_key const& key, base::monotonic_time now);

  /// Whether the log should be asked again about a known pin.
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
  /// The sessions, the one used longest ago first.
  std::list<session_key> m_lru;
};

} // namespace catkinlanding::sessions
