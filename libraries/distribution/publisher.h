#pragma once

#include <libraries/distribution/subscriber.h>

#include <map>

namespace catkinlanding::distribution {

/// An instance that the settings name.
struct member {
  base::instance_id instance;
  base::availability_zone_id zone;
};

/// Serves the catalogue to the instances that poll this one, and knows what each has in force.
class publisher {
public:
  struct options {
    base::instance_id self;
    base::availability_zone_id zone;
    /// Grows with each start.
    std::uint64_t incarnation = 0;
    /// Every instance of the deployment, this one too. A leader that has not heard of each of them
    /// says of nothing that it is in force everywhere. When empty, those who have polled count.
    std::vector<member> members;
    base::duration lease_duration = std::chrono::seconds(2);
    /// An instance was heard of lately when it was at most this long ago, through however many
    /// others.
    base::duration liveness_timeout = std::chrono::seconds(6);
    /// An instance that has been silent for this long is taken as gone for good.
    base::duration removal_timeout = std::chrono::minutes(10);
  };

  explicit publisher(options options);

  /// Answers a poll from what the source knows. No lease outlives `grant_until`; without one, the
  /// answer brings news alone.
  void receive(base::instance_id const& from, poll const& poll, subscriber const& source,
               std::optional<base::monotonic_time> grant_until, base::monotonic_time now,
               effects& out);

  /// Sends a new revision to everybody without waiting for their next polls. Each change is pushed
  /// once; who missed it can't use the next, and gets both with the answer to its next poll.
  void push(subscriber const& source, base::monotonic_time now, effects& out);

  void tick(base::monotonic_time now);

  /// What this instance, known at revision `own`, reports of those who poll it.
  [[nodiscard]] subscriber_summary summary(catalogue::revision own, base::monotonic_time now) const;

  /// The zones as the leader sees them; this instance, at revision `own`, counts as live.
  [[nodiscard]] std::vector<zone_status> zones(catalogue::revision own,
                                               base::monotonic_time now) const;

  /// Whether every member was heard of lately and has the revision in force.
  [[nodiscard]] bool is_in_force_everywhere(catalogue::revision revision, catalogue::revision own,
                                            base::monotonic_time now) const;

private:
  struct lessee {
    base::availability_zone_id zone;
    catalogue::revision in_force = 0;
    catalogue::revision revision = 0;
    /// The poll that the above is from.
    base::stamp stamp;
    /// The revision that was sent last, by an answer or unasked. It may have been lost.
    catalogue::revision sent_revision = 0;
    std::vector<zone_status> descendants;
    base::monotonic_time lease_until{};
    /// The poll was sent after this time, and so the process ran then.
    std::optional<base::monotonic_time> sent_after;
    /// The instance, and everybody below it, was heard of at this time or later.
    std::optional<base::monotonic_time> alive_at;
    base::monotonic_time last_poll{};
  };
  using zone_map = std::map<base::availability_zone_id, zone_status>;

  /// When this publisher sent the answer that the poll acknowledges.
  [[nodiscard]] std::optional<base::monotonic_time> acknowledged_at(poll const& poll,
                                                                    base::monotonic_time now) const;
  [[nodiscard]] bool is_live(lessee const& lessee, base::monotonic_time now) const;
  [[nodiscard]] zone_map live_zones(base::monotonic_time now) const;
  void count_silent(zone_map& zones, base::monotonic_time now) const;

  options m_options;
  zone_map m_expected;
  std::map<base::instance_id, lessee> m_lessees;
};

} // namespace catkinlanding::distribution
