#pragma once

#include <libraries/endpoints/announcement.h>

#include <map>

namespace catkinlanding::endpoints {

/// Forwards announcements in batches to the entry instances of the zone that watch the endpoint,
/// and bounds the age of incoming batches.
class forwarder {
public:
  struct options {
    base::instance_id self;
    /// The other entry instances of the zone.
    std::vector<base::instance_id> zone_peers;
    /// Grows with each start of this instance.
    std::uint64_t incarnation = 0;
    /// Number of instances of the zone that watch one endpoint.
    std::size_t watchers = 8;
    base::duration batch_interval = std::chrono::milliseconds(200);
    /// Maximum time between two batches to a peer; an empty one is sent for its stamp.
    base::duration stamp_interval = std::chrono::seconds(5);
    /// One in this many announcements of an endpoint is forwarded in full, for peers that missed
    /// the last full one.
    std::uint64_t full_interval = 16;
  };

  explicit forwarder(options options);

  /// Replaces the list of the zone's other entry instances. Returns whether it changed.
  bool follow_zone(std::vector<base::instance_id> peers);

  /// Whether this instance is among the endpoint's watchers.
  [[nodiscard]] bool is_watched_here(base::endpoint_id const& endpoint) const;

  /// Forwards the announcement with the next batch, or at once if the endpoint is leaving. A rare
  /// one goes to every peer.
  void add(announcement const& announcement, bool is_rare, base::monotonic_time announced_at,
           base::monotonic_time now, effects& out);

  /// Returns the earliest time at which the batch can have been sent, on this instance's clock.
  /// Nothing is returned until the peer has echoed a stamp.
  [[nodiscard]] std::optional<base::monotonic_time>
  receive(base::instance_id const& from, announcement_batch const& batch, base::monotonic_time now);

  void tick(base::monotonic_time now, effects& out);

private:
  struct peer {
    announcement_batch pending;
    /// When each of the pending announcements was sent by its endpoint, in the same order.
    std::vector<base::monotonic_time> full_announced_at;
    std::vector<base::monotonic_time> load_updates_announced_at;
    std::optional<base::stamp> peer_stamp;
    base::monotonic_time stamp_received_at{};
    base::monotonic_time sent_at{};
    bool needs_stamp = true;
  };

  struct forwarded {
    std::uint64_t content = 0;
    base::monotonic_time at{};
  };

  [[nodiscard]] std::vector<base::instance_id> watchers_of(base::endpoint_id const& endpoint) const;
  void send(base::instance_id const& to, peer& peer, base::monotonic_time now, effects& out) const;
  void add(peer& peer, announcement const& announcement, bool is_full, std::uint64_t content,
           base::monotonic_time announced_at) const;

  options m_options;
  std::map<base::instance_id, peer> m_peers;
  std::map<base::endpoint_id, forwarded> m_forwarded;
  base::monotonic_time m_batch_due{};
};

/// Hash over the content that rarely changes within an incarnation, including the incarnation.
/// `is_leaving` is left out, as a leaving announcement is always forwarded in full.
[[nodiscard]] std::uint64_t content_hash(announcement const& announcement);

} // namespace catkinlanding::endpoints
