#pragma once

#include <libraries/proxy/departure_log.h>
#include <libraries/proxy/endpoint.h>
#include <libraries/proxy/endpoint_rate.h>

#include <map>
#include <set>
#include <vector>

namespace catkinlanding::proxy {

/// The effect of an announcement on the registry.
enum class announcement_outcome : std::uint8_t {
  /// No routing field and no state changed. The record still gets a new revision if the endpoint
  /// became cold, or if entry instances must get it again (see `must_repeat`).
  refreshed,
  /// The record changed, and the other instances must be notified.
  changed,
  /// Ignored, because a newer announcement is known, the endpoint has ended, or another endpoint
  /// holds its address.
  stale,
  /// Rejected, because the registry is full.
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

/// The endpoints known to a control instance. For each endpoint the newest announcement of its
/// newest incarnation applies; announcements may be delayed, duplicated or reordered. Changes are
/// numbered, so that each instance can be sent the ones that it lacks. The records say what the
/// endpoints announced; zones out of use change only what entry instances are shown.
class endpoint_registry {
public:
  struct options {
    /// An endpoint is marked as silent after this long without an announcement.
    base::duration silence_timeout = std::chrono::seconds(8);
    /// While the holder of an address announced itself within this time, an announcement of another
    /// endpoint with the same incarnation for that address is ignored as a delayed one.
    base::duration address_conflict_window = std::chrono::milliseconds(1800);
    /// How long ended endpoints are remembered, so that their delayed announcements are recognized.
    base::duration retention = std::chrono::seconds(120);
    /// Bounds the memory that forged announcements can take up.
    std::size_t max_endpoints = 50'000;
  };

  explicit endpoint_registry(options options) : m_options(options) {}

  announcement_outcome announce(endpoint_announcement const& announcement,
                                base::monotonic_time now);
  /// Marks the endpoint as gone. A later incarnation with the same id is treated as a new endpoint.
  announcement_outcome withdraw(base::endpoint_id const& id, base::monotonic_time now);
  /// Marks the endpoint as leaving or gone, unless it has started anew since. Returns whether the
  /// record changed.
  bool note_departure(endpoint_departure const& departure);
  /// Copies a record from the registry of another control instance, unless a newer one is known.
  void adopt(endpoint_record const& record, base::monotonic_time now);
  /// Marks silent endpoints and forgets those that ended long ago. Returns whether any record
  /// changed.
  bool tick(base::monotonic_time now);
  /// Restarts all silence timers, and forgets which endpoints announced themselves here. Called
  /// when this instance becomes the leader, since it received no announcements before.
  void reset_silence_timers(base::monotonic_time now);
  /// Replaces the zones that are out of use. Their ready endpoints are shown to entry instances as
  /// leaving. The endpoints of each zone for which that changes get a new revision.
  void set_zones_out_of_use(std::set<base::availability_zone_id> zones);

  [[nodiscard]] std::uint64_t revision() const { return m_revision; }
  /// Returns the records that changed after the revision.
  [[nodiscard]] std::vector<endpoint_record> changes_since(std::uint64_t revision) const;
  /// The same as entry instances get it: a ready endpoint of a zone out of use appears as leaving.
  [[nodiscard]] std::vector<endpoint_record> changes_for_entries(std::uint64_t revision) const;
  [[nodiscard]] endpoint_record const* find(base::endpoint_id const& id) const;
  [[nodiscard]] std::size_t size() const { return m_endpoints.size(); }

private:
  struct entry {
    endpoint_record record;
    base::monotonic_time last_announced_at{};
    /// Whether it announced itself here since this instance leads.
    bool is_heard = false;
    /// Whether its zone was taken out of use or put back since its last announcement here.
    bool has_zone_changed = false;
  };

  /// Whether entry instances need the record again although the endpoint announced nothing new:
  /// they ignore a record whose announcement is older than one that they got from a former leader.
  [[nodiscard]] bool must_repeat(entry const& entry) const;
  void set_state(entry& entry, endpoint_state state);
  /// Returns another endpoint that holds the announced address and is not gone; nullptr if there is
  /// none.
  [[nodiscard]] entry* find_address_holder(endpoint_announcement const& announcement);
  /// Whether the announced address is held by an endpoint of a later incarnation, or by a live one
  /// of the same incarnation.
  [[nodiscard]] bool is_address_taken(endpoint_announcement const& announcement,
                                      base::monotonic_time now);
  /// Marks another endpoint at the announced address as gone.
  void retire_previous_holder(endpoint_announcement const& announcement);

  options m_options;
  std::uint64_t m_revision = 0;
  std::map<base::endpoint_id, entry> m_endpoints;
  /// The current holder of each address.
  std::map<base::address, base::endpoint_id> m_addresses;
  std::set<base::availability_zone_id> m_zones_out_of_use;
};

} // namespace catkinlanding::proxy
