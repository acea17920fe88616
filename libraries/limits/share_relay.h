#pragma once

#include <libraries/limits/share_allocator.h>
#include <libraries/limits/share_lessee.h>

namespace catkinlanding::limits {

/// Sub-leases the share that the leader leased to this instance, plus this instance's own floor, to
/// the entry instances of one availability zone. The sub-leases never exceed what the leader
/// accounts for this instance.
class share_relay {
public:
  struct options {
    /// Maximum number of instances with a floor of their own in the deployment.
    std::size_t floor_holders = 1;
    std::uint64_t floor_permille = share_allocator::options{}.floor_permille;
    /// Maximum duration of a sub-lease.
    base::duration lease = share_allocator::options{}.lease;
    /// With less than this left of the leader's lease, only the floor is sub-leased: a lease that
    /// ends before the lessee's next request would leave a gap.
    base::duration min_lease = std::chrono::milliseconds(1500);
    share_lessee::options lessee;
  };

  /// Grants nothing during the first lease time after the start, since sub-leases of an earlier
  /// process may still run.
  share_relay(options options, base::monotonic_time started_at);

  [[nodiscard]] bool is_due(base::monotonic_time now) const;

  /// The request to send to the leader now, if one is due.
  [[nodiscard]] std::optional<share_request> tick(shares const& deployment_limits,
                                                  base::monotonic_time now);

  /// Applies a grant from the leader.
  void receive(share_grant const& grant, base::monotonic_time now) { m_lessee.receive(grant, now); }

  /// Answers a request of an entry instance.
  [[nodiscard]] share_grant receive(base::instance_id const& from, share_request const& request,
                                    shares const& deployment_limits, base::monotonic_time now);

private:
  /// Total that may be sub-leased at once: the floor, plus the leader's share if `has_share`.
  [[nodiscard]] shares capacity(shares const& deployment_limits, bool has_share,
                                base::monotonic_time now) const;

  options m_options;
  base::monotonic_time m_no_grants_before{};
  share_lessee m_lessee;
  share_allocator m_allocator;
};

} // namespace catkinlanding::limits
