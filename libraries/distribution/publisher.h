#pragma once

#include <libraries/distribution/subscriber.h>

#include <map>
#include <set>

namespace catkinlanding::distribution {

/// An instance that the settings name.
struct member {
  base::instance_id instance;
  base::availability_zone_id zone;
};

/// Serves the catalogue to the instances that poll this one, and tracks which revision each has in
/// force.
class publisher {
public:
  struct options {
    base::instance_id self;
    base::availability_zone_id zone;
    /// Increases with each start of the process.
    std::uint64_t incarnation = 0;
    /// All instances of the deployment, including this one. A leader reports a revision as in force
    /// everywhere only while all of them are live. If empty, the instances that have polled are
    /// used.
    std::vector<member> members;
    base::duration lease_duration = std::chrono::seconds(2);
    /// An instance counts as live for this long after the last time at which it is known to have
    /// run, whether it polls this instance directly or through others.
    base::duration liveness_timeout = std::chrono::seconds(6);
    /// An instance that has not polled for this long is removed.
    base::duration removal_timeout = std::chrono::minutes(10);
    /// A revision that a subscriber still lacks this long after it was sent is taken for lost.
    base::duration delivery_timeout = std::chrono::milliseconds(500);
  };

  explicit publisher(options options);

  /// Answers a poll with the catalogue of `source`. A granted lease never outlives `grant_until`;
  /// without `grant_until` the answer grants no lease.
  void receive(base::instance_id const& from, poll const& poll, subscriber const& source,
               std::optional<base::monotonic_time> grant_until, base::monotonic_time now,
               effects& out);

  /// Sends a new revision to all active subscribers without waiting for their next polls. Each
  /// change is pushed once. A subscriber that missed one can't apply the next, and gets both with
  /// the answer to its next poll.
  void push(subscriber const& source, base::monotonic_time now, effects& out);

  void tick(base::monotonic_time now);

  /// What this instance, whose own revision is `own`, reports to its publisher about the instances
  /// that poll it. Valid as long as this publisher does not change.
  [[nodiscard]] subscriber_summary summary(catalogue::revision own, base::monotonic_time now) const;

  /// The state of all zones as the leader sees it. This instance, at revision `own`, counts as
  /// live.
  [[nodiscard]] std::vector<zone_status> zones(catalogue::revision own,
                                               base::monotonic_time now) const;

  /// Whether every member is live and has the revision in force.
  [[nodiscard]] bool is_in_force_everywhere(catalogue::revision revision, catalogue::revision own,
                                            base::monotonic_time now) const;

private:
  /// What one poll says of its sender, or of an instance that polls its sender.
  struct report {
    base::instance_id instance;
    base::availability_zone_id zone;
    catalogue::revision in_force = 0;
    /// When the instance sent the poll from which this was taken.
    base::stamp stamp;
    /// The instance was running at this time or later.
    std::optional<base::monotonic_time> alive_at;
  };
  struct lessee {
    report own;
    std::vector<report> descendants;
    /// The latest revision that was sent, in an answer or a push. The message may have been lost.
    catalogue::revision sent_revision = 0;
    /// When it was sent first, or again after it had been lost.
    base::monotonic_time sent_at{};
    base::monotonic_time lease_until{};
    base::monotonic_time last_poll{};
  };
  /// What all reports together say of an instance.
  struct merged_report {
    /// The report with the latest stamp.
    report const* latest = nullptr;
    /// The latest time at which any report knows it to have run.
    std::optional<base::monotonic_time> alive_at;
  };
  using zone_map = std::map<base::availability_zone_id, zone_status>;

  static void note_sent(lessee& lessee, catalogue::revision revision, base::monotonic_time now);
  /// When this publisher sent the answer that the poll acknowledges.
  [[nodiscard]] std::optional<base::monotonic_time> acknowledged_at(poll const& poll,
                                                                    base::monotonic_time now) const;
  [[nodiscard]] bool is_live(std::optional<base::monotonic_time> alive_at,
                             base::monotonic_time now) const;
  /// The other instances that are live or may hold a lease, each once, ordered by id.
  [[nodiscard]] std::vector<merged_report> instances(base::monotonic_time now) const;
  [[nodiscard]] std::vector<known_instance> known_instances(base::monotonic_time now) const;
  /// Whether the instance is one of the members, if these are known.
  [[nodiscard]] bool is_expected(base::instance_id const& instance) const;
  /// Counts the members that are not live or, without a list of members, the known instances.
  void count_silent(zone_map& zones, std::set<base::instance_id> const& live) const;

  options m_options;
  std::map<base::instance_id, lessee> m_lessees;
};

} // namespace catkinlanding::distribution
