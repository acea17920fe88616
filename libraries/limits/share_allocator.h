#pragma once

#include <libraries/limits/message.h>

#include <deque>

namespace catkinlanding::limits {

/// Leases shares of each limit to the instances that request them. A part of every limit is
/// reserved and divided equally as permanent floors, so that an availability zone that is cut off
/// keeps some capacity. The floors and all grants that may still be in use never exceed the limit.
class share_allocator {
public:
  struct options {
    /// Maximum number of instances with a floor in the deployment; 0 reserves nothing and divides
    /// the whole limit among the requesters.
    std::size_t instances = 1;
    /// Part of each limit that is reserved for the floors, in thousandths.
    std::uint64_t floor_permille = 300;
    base::duration lease = std::chrono::seconds(3);
    /// Maximum number of outstanding grants per instance; requests beyond it get no share until
    /// some have expired.
    std::size_t max_grants = 16;
  };

  /// Grants nothing before `no_grants_before`, when the leases of an earlier allocator have ended.
  share_allocator(options options, base::monotonic_time no_grants_before)
      : m_options(options), m_no_grants_before(no_grants_before) {}

  /// Returns the grant that answers the request.
  [[nodiscard]] share_grant receive(base::instance_id const& from, share_request const& request,
                                    shares const& deployment_limits, base::monotonic_time now);

  /// The same with a lease no longer than that of the options. The limits may change from one
  /// request to the next; outstanding grants stay valid until their leases end.
  [[nodiscard]] share_grant receive(base::instance_id const& from, share_request const& request,
                                    shares const& deployment_limits, base::duration lease,
                                    base::monotonic_time now);

  /// Whether all grants that may still be in use fit into these limits.
  [[nodiscard]] bool fits(shares const& deployment_limits, base::monotonic_time now);

  /// Total demand of all lessees.
  [[nodiscard]] shares demand() const;

  /// The part of a limit that one instance may always use.
  [[nodiscard]] static std::uint64_t floor_of(std::uint64_t limit, std::uint64_t floor_permille,
                                              std::size_t instances);

private:
  struct grant {
    std::uint64_t sequence = 0;
    base::monotonic_time lease_end{};
    limits::shares shares;
  };

  struct lessee {
    std::deque<grant> grants;
    shares demand;
    std::uint64_t newest_sequence = 0;
    base::monotonic_time last_request_at{};
  };

  /// The largest share of this limit that the lessee may be using.
  [[nodiscard]] static std::uint64_t committed(lessee const& lessee, share_key const& key);
  [[nodiscard]] std::uint64_t fair_share(share_key const& key, std::uint64_t pool,
                                         base::instance_id const& asking) const;
  [[nodiscard]] std::uint64_t total_floors(std::uint64_t limit) const;
  void expire(base::monotonic_time now);

  options m_options;
  base::monotonic_time m_no_grants_before{};
  std::map<base::instance_id, lessee> m_lessees;
};

} // namespace catkinlanding::limits
