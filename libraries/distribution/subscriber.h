#pragma once

#include <libraries/distribution/message.h>

#include <deque>

namespace catkinlanding::distribution {

/// What a subscriber says of the instances that poll it.
struct subscriber_summary {
  catalogue::revision in_force = 0;
  std::vector<zone_status> zones;
  base::duration age{};
};

/// The catalogue as one instance knows it, and the lease under which it is known to be current.
class subscriber {
public:
  struct options {
    base::availability_zone_id zone;
    /// Instances to poll, the preferred ones first.
    std::vector<base::instance_id> publishers;
    /// Polls the leader itself once a publisher names it among the publishers.
    bool follows_leader = false;
    /// Other instances of the zone, polled when no publisher grants a lease. While the zone is cut
    /// off they hand over what they know, and how old their own leases are.
    std::vector<base::instance_id> zone_peers;
    /// Grows with each start.
    std::uint64_t incarnation = 0;
    base::monotonic_time started_at{};
    base::duration poll_interval = std::chrono::milliseconds(500);
    /// A publisher that left this many polls without a lease is passed over for the next.
    int max_polls_without_lease = 2;
    /// After this long with another publisher, the preferred one is tried again.
    base::duration return_interval = std::chrono::seconds(10);
    /// A new process acts without a lease only on answers to polls that it sent this long after
    /// its start: by then nobody counts its predecessor as live. At least the publishers'
    /// `freshness`.
    base::duration unleased_delay = std::chrono::seconds(6);
  };

  explicit subscriber(options options);

  /// Prefers this publisher from now on: an instance with the control role follows the leader.
  void follow(base::instance_id const& leader);

  /// The leader that this instance with the control role knows of, for those who poll it.
  void set_leader(std::optional<base::instance_id> leader) { m_leader = std::move(leader); }
  [[nodiscard]] std::optional<base::instance_id> const& leader() const { return m_leader; }

  /// The other instances of the zone from now on, who may know a later catalogue.
  void follow_zone(std::vector<base::instance_id> peers);

  /// Polls when it is time to.
  void tick(subscriber_summary const& summary, base::monotonic_time now, effects& out);

  /// Polls with the next tick, since there is something to report.
  void poll_on_next_tick() { m_poll_due = {}; }

  /// Takes in news. Returns whether the revision grew.
  bool receive(base::instance_id const& from, update const& update, base::monotonic_time now);

  /// Used where the leader runs on this instance: its log is the source.
  bool load_from_log(catalogue::document const& document,
                     std::deque<catalogue::change> const& recent_changes,
                     base::monotonic_time lease_until);

  [[nodiscard]] catalogue::document const& document() const { return m_document; }
  [[nodiscard]] bool has_lease(base::monotonic_time now) const {
    return m_lease_until && now < *m_lease_until;
  }
  /// The end of the last lease, of this instance or of the zone peer that it started from. Absent
  /// when neither is known, and then nothing may get new work.
  [[nodiscard]] std::optional<base::monotonic_time> lease_until() const { return m_lease_until; }
  /// Time since the last lease ended; zero under a lease.
  [[nodiscard]] base::duration without_lease(base::monotonic_time now) const;

  /// The instance that is polled now; empty where there is none.
  [[nodiscard]] base::instance_id publisher() const;

  /// The changes after `since`, or nothing where they are no longer kept.
  [[nodiscard]] std::optional<std::vector<catalogue::change>>
  changes_since(catalogue::revision since) const;

private:
  void add_recent_change(catalogue::change const& change);
  void apply_update(update const& update);
  void renew_lease(base::instance_id const& from, update const& update, base::monotonic_time now);
  void move_to_front(base::instance_id const& leader);
  void choose_publisher(base::monotonic_time now);
  /// Polls that report news between the regular ones say nothing of the publisher's health.
  void count_poll(base::monotonic_time now);
  void switch_to(std::size_t publisher, base::monotonic_time now);

  options m_options;
  catalogue::document m_document;
  std::deque<catalogue::change> m_recent_changes;
  std::optional<base::monotonic_time> m_lease_until;
  base::monotonic_time m_poll_due{};
  base::monotonic_time m_return_due{};
  /// Those of the options, and the zone peers behind them.
  std::vector<base::instance_id> m_publishers;
  std::size_t m_publisher = 0;
  std::optional<base::instance_id> m_leader;
  int m_polls_without_lease = 0;
  base::monotonic_time m_next_counted_poll{};
  base::instance_id m_acknowledged_publisher;
  std::optional<base::stamp> m_acknowledged;
};

} // namespace catkinlanding::distribution
