#pragma once

#include <libraries/limits/message.h>

#include <deque>

namespace catkinlanding::limits {

/// Divides each limit among those who ask, under leases. A part of every limit is reserved: each
/// holder of a floor has its even piece of it for good, so that a cut-off availability zone has a
/// floor. The floors and all grants that may still be acted by never add up to more than the limit.
class share_allocator {
public:
  struct options {
    /// Instances with a floor in the whole deployment, at most; 0 where nothing is reserved, and
    /// then those who ask divide all of it.
    std::size_t instances = 1;
    /// Part of each limit that the floors are made of, in thousandths.
    std::uint64_t floor_permille = 300;
    base::duration lease = std::chrono::seconds(3);
    /// Grants of one instance that are remembered; more are refused until some have run out.
    std::size_t max_grants = 16;
  };

  /// The leases that an earlier holder granted have ended at `no_grants_before`.
  share_allocator(options options, base::monotonic_time no_grants_before)
      : m_options(options), m_no_grants_before(no_grants_before) {}

  /// The grant that answers the request. `all` are the limits of the whole deployment.
  [[nodiscard]] share_grant receive(base::instance_id const& from, share_request const& request,
                                    shares const& deployment_limits, base::monotonic_time now);

  /// The same with a lease of another length, no longer than that of the options. `all` may change
  /// from one request to the next; what is out already stays out until its lease ends.
  [[nodiscard]] share_grant receive(base::instance_id const& from, share_request const& request,
                                    shares const& deployment_limits, base::duration lease,
                                    base::monotonic_time now);

  /// Whether everything that may still be acted by fits into these.
  [[nodiscard]] bool fits(shares const& deployment_limits, base::monotonic_time now);

  /// What all who ask could use.
  [[nodiscard]] shares demand() const;

  /// What one instance may always use of a limit.
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

  /// The most that the instance may act by for this limit.
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
