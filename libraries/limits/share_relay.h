#pragma once

#include <libraries/limits/share_allocator.h>
#include <libraries/limits/share_lessee.h>

namespace catkinlanding::limits {

/// Leases on to the entry instances of one availability zone what the leader leased to this
/// instance, and a floor that is its own. What is out here never exceeds what the leader counts.
class share_relay {
public:
  struct options {
    /// Instances with a floor of their own in the whole deployment, at most.
    std::size_t floor_holders = 1;
    std::uint64_t floor_permille = share_allocator::options{}.floor_permille;
    /// Leases from here are at most this long.
    base::duration lease = share_allocator::options{}.lease;
    /// With less than this left of the leader's lease, only the floor is leased on: leases that
    /// end before the next request would leave gaps.
    base::duration min_lease = std::chrono::milliseconds(1500);
    share_lessee::options lessee;
  };

  /// The leases that an earlier process granted have ended one lease after the start.
  share_relay(options options, base::monotonic_time started_at);

  [[nodiscard]] bool is_due(base::monotonic_time now) const;

  /// The request to send to the leader now, if it is time for one. `all` are the limits of the
  /// whole deployment.
  [[nodiscard]] std::optional<share_request> tick(shares const& deployment_limits,
                                                  base::monotonic_time now);

  /// Takes in the leader's grant.
  void receive(share_grant const& grant, base::monotonic_time now) { m_lessee.receive(grant, now); }

  /// Answers an entry instance.
  [[nodiscard]] share_grant receive(base::instance_id const& from, share_request const& request,
                                    shares const& deployment_limits, base::monotonic_time now);

private:
  /// What may be out at once: the floor, and the leader's share where it is counted in.
  [[nodiscard]] shares capacity(shares const& deployment_limits, bool has_share,
                                base::monotonic_time now) const;

  options m_options;
  base::monotonic_time m_no_grants_before{};
  share_lessee m_lessee;
  share_allocator m_allocator;
};

} // namespace catkinlanding::limits
