#pragma once

#include <libraries/endpoints/announcement.h>

#include <map>

namespace catkinlanding::endpoints {

/// Passes announcements on to the entry instances of the zone that watch the endpoint, in batches,
/// and tells how old what comes in is.
class forwarder {
public:
  struct options {
    base::instance_id self;
    /// The other entry instances of the zone.
    std::vector<base::instance_id> zone_peers;
    /// Grows with each start of this instance.
    std::uint64_t incarnation = 0;
    /// Instances of the zone that know one endpoint.
    std::size_t watchers = 8;
    base::duration batch_interval = std::chrono::milliseconds(200);
    /// An empty batch goes to a peer that got none for this long, for its stamp.
    base::duration stamp_interval = std::chrono::seconds(5);
    /// Every so many announcements of an endpoint are passed on whole, for those that missed one.
    std::uint64_t full_interval = 16;
  };

  explicit forwarder(options options);

  /// The other entry instances of the zone from now on. Returns whether they changed.
  bool follow_zone(std::vector<base::instance_id> peers);

  /// Whether this instance is among the endpoint's watchers.
  [[nodiscard]] bool is_watched_here(base::endpoint_id const& endpoint) const;

  /// Passes the announcement on with the next batch; at once when the endpoint is leaving. It goes
  /// to every peer when it is rare.
  void add(announcement const& announcement, bool is_rare, base::monotonic_time announced_at,
           base::monotonic_time now, effects& out);

  /// The earliest time at which the batch can have been sent, on this instance's clock. Absent
  /// until a stamp has gone there and back.
  [[nodiscard]] std::optional<base::monotonic_time>
  receive(base::instance_id const& from, announcement_batch const& batch, base::monotonic_time now);

  void tick(base::monotonic_time now, effects& out);

private:
  struct peer {
    announcement_batch pending;
    /// When each of the pending announcements was heard, in the same order.
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

/// A hash over what stays the same from one announcement of an incarnation to the next. Whether it
/// is leaving stays out, since that is always passed on whole.
[[nodiscard]] std::uint64_t content_hash(announcement const& announcement);

} // namespace catkinlanding::endpoints
