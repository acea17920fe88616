#pragma once

#include <libraries/proxy/endpoint.h>

#include <map>
#include <vector>

namespace catkinlanding::proxy {

/// What became of an endpoint's word.
enum class announcement_outcome : std::uint8_t {
  /// Nothing but its time is new.
  refreshed,
  /// Instances must be told.
  changed,
  /// A later word, or one of a later start, is known.
  stale,
  /// No more endpoints can be held.
  refused,
};

[[nodiscard]] constexpr char const* name_of(announcement_outcome outcome) {
  switch (outcome) {
  case announcement_outcome::refreshed:
    return "refreshed";
  case announcement_outcome::changed:
    return "changed";
  case announcement_outcome::stale:
    return "stale";
  case announcement_outcome::refused:
    return "refused";
  }
  return "unknown";
}

/// Every endpoint that a control instance was told of. The latest word of the latest start holds;
/// words may come late, twice and out of order. Changes are numbered, so that each instance can be
/// sent what it lacks.
class endpoint_registry {
public:
  struct options {
    /// Without a word for so long an endpoint counts as silent.
    base::duration silence_timeout = std::chrono::seconds(8);
    /// A word of an unknown endpoint at the address of one that was heard this recently is a late
    /// one, unless it names a later start.
    base::duration address_conflict_window = std::chrono::milliseconds(1800);
    /// Ended endpoints are remembered for so long, against late words of theirs.
    base::duration retention = std::chrono::seconds(120);
    /// Words of made-up endpoints must not fill the memory.
    std::size_t max_endpoints = 50'000;
  };

  explicit endpoint_registry(options options) : m_options(options) {}

  announcement_outcome announce(endpoint_announcement const& announcement,
                                base::monotonic_time now);
  /// The endpoint ends. A later start under the same id is another endpoint.
  announcement_outcome withdraw(base::endpoint_id const& id, base::monotonic_time now);
  /// Takes over what the registry of another control instance holds.
  void adopt(endpoint_record const& record, base::monotonic_time now);
  /// Marks the silent ones. Returns whether there was a change.
  bool tick(base::monotonic_time now);
  /// All endpoints count as heard now: this instance did not listen before.
  void reset_silence_timers(base::monotonic_time now);

  [[nodiscard]] std::uint64_t revision() const { return m_revision; }
  /// Records that changed after the revision.
  [[nodiscard]] std::vector<endpoint_record> changes_since(std::uint64_t revision) const;
  [[nodiscard]] endpoint_record const* find(base::endpoint_id const& id) const;
  [[nodiscard]] std::size_t size() const { return m_endpoints.size(); }

private:
  struct entry {
    endpoint_record record;
    base::monotonic_time last_announced_at{};
  };

  void set_state(entry& entry, endpoint_state state);
  /// Another endpoint that has the address of this word and has not ended.
  [[nodiscard]] entry* find_address_holder(endpoint_announcement const& announcement);
  /// Whether a later start of another endpoint has the address of this word, or one that is alive.
  [[nodiscard]] bool is_address_taken(endpoint_announcement const& announcement,
                                      base::monotonic_time now);
  /// Ends earlier starts at the address of this word.
  void retire_previous_holder(endpoint_announcement const& announcement);

  options m_options;
  std::uint64_t m_revision = 0;
  std::map<base::endpoint_id, entry> m_endpoints;
  /// The endpoint that is known to have each address now.
  std::map<base::address, base::endpoint_id> m_addresses;
};

} // namespace catkinlanding::proxy
