#pragma once

#include <libraries/distribution/message.h>

#include <deque>
#include <functional>

namespace catkinlanding::distribution {

/// What a subscriber reports about the instances that poll it.
struct subscriber_summary {
  /// The lowest revision in force on the subscriber and on any of them.
  catalogue::revision in_force = 0;
  /// Lists them; empty if there are none. Most summaries are only asked for the revision.
  std::function<std::vector<known_instance>()> list_instances;
};

/// The catalogue of one instance, and the lease under which it is known to be current.
class subscriber {
public:
  struct options {
    base::availability_zone_id zone;
    /// Instances to poll, the preferred ones first.
    std::vector<base::instance_id> publishers;
    /// Whether to poll the leader directly once an update names one of `publishers` as the leader.
    bool follows_leader = false;
    /// Other instances of the zone, polled when no publisher grants a lease. While the zone is
    /// partitioned they provide their catalogue and the time since their own leases ended.
    std::vector<base::instance_id> zone_peers;
    /// Increases with each start of the process.
    std::uint64_t incarnation = 0;
    base::monotonic_time started_at{};
    base::duration poll_interval = std::chrono::milliseconds(500);
    /// After this many polls without a new lease the subscriber switches to the next publisher.
    int max_polls_without_lease = 2;
    /// After this long with another publisher the subscriber returns to the preferred one.
    base::duration return_interval = std::chrono::seconds(10);
    /// A new process accepts an expired lease only from answers to polls that it sent at least this
    /// long after its start: by then no publisher counts its predecessor as live. Must be at least
    /// the publishers' `liveness_timeout`.
    base::duration unleased_delay = std::chrono::seconds(6);
  };

  explicit subscriber(options options);

  /// Makes the leader the preferred publisher. Used on instances with the control role.
  void follow(base::instance_id const& leader);

  /// Sets the leader that is named to the instances that poll this one. Used on instances with the
  /// control role.
  void set_leader(std::optional<base::instance_id> leader) { m_leader = std::move(leader); }
  [[nodiscard]] std::optional<base::instance_id> const& leader() const { return m_leader; }

  /// Replaces the other instances of the zone, which may have a later catalogue.
  void follow_zone(std::vector<base::instance_id> peers);

  /// Sends a poll if one is due.
  void tick(subscriber_summary const& summary, base::monotonic_time now, effects& out);

  /// Makes the next tick send a poll, because there is something to report or to fetch.
  void poll_on_next_tick() { m_poll_due = {}; }

  /// Applies an update. Returns whether the revision has increased.
  bool receive(base::instance_id const& from, update const& update, base::monotonic_time now);

  /// Loads the catalogue from the replicated log of this instance, which is the leader.
  bool load_from_log(catalogue::document const& document,
                     std::deque<catalogue::change> const& recent_changes,
                     base::monotonic_time lease_until);

  [[nodiscard]] catalogue::document const& document() const { return m_document; }
  [[nodiscard]] bool has_lease(base::monotonic_time now) const {
    return m_lease_until && now < *m_lease_until;
  }
  /// The end of the latest lease, of this instance or of the zone peer from which it loaded its
  /// catalogue. Absent if neither is known; then no endpoint may get new work.
  [[nodiscard]] std::optional<base::monotonic_time> lease_until() const { return m_lease_until; }
  /// Time since the last lease ended; zero under a lease.
  [[nodiscard]] base::duration without_lease(base::monotonic_time now) const;

  /// The instance that is polled now, or an empty id if there is none.
  [[nodiscard]] base::instance_id publisher() const;

  /// The changes after revision `since`, or nothing if they are no longer kept.
  [[nodiscard]] std::optional<std::vector<catalogue::change>>
  changes_since(catalogue::revision since) const;

private:
  void add_recent_change(catalogue::change const& change);
  void apply_update(update const& update);
  void renew_lease(base::instance_id const& from, update const& update, base::monotonic_time now);
  void move_to_front(base::instance_id const& leader);
  void choose_publisher(base::monotonic_time now);
  /// Counts a poll without a lease at most once per poll interval: extra polls in between don't
  /// indicate the health of the publisher.
  void count_poll(base::monotonic_time now);
  void switch_to(std::size_t publisher, base::monotonic_time now);

  options m_options;
  catalogue::document m_document;
  std::deque<catalogue::change> m_recent_changes;
  std::optional<base::monotonic_time> m_lease_until;
  base::monotonic_time m_poll_due{};
  base::monotonic_time m_return_due{};
  /// The publishers of the options, followed by the zone peers.
  std::vector<base::instance_id> m_publishers;
  std::size_t m_publisher = 0;
  std::optional<base::instance_id> m_leader;
  int m_polls_without_lease = 0;
  base::monotonic_time m_next_counted_poll{};
  base::instance_id m_acknowledged_publisher;
  std::optional<base::stamp> m_acknowledged;
};

} // namespace catkinlanding::distribution
