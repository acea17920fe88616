#include <libraries/base/verify.h>
#include <libraries/limits/share_allocator.h>

#include <algorithm>

namespace catkinlanding::limits {

namespace {

constexpr std::uint64_t whole_permille = 1000;

/// A lessee is forgotten after this many lease times without a request.
constexpr int forget_after_leases = 4;

std::uint64_t value_in(shares const& shares, share_key const& key) {
  auto const it = shares.find(key);
  return it == shares.end() ? 0 : it->second;
}

} // namespace

share_grant share_allocator::receive(base::instance_id const& from, share_request const& request,
                                     shares const& deployment_limits, base::monotonic_time now) {
  return receive(from, request, deployment_limits, m_options.lease, now);
}

share_grant share_allocator::receive(base::instance_id const& from, share_request const& request,
                                     shares const& deployment_limits, base::duration lease,
                                     base::monotonic_time now) {
  CATKINLANDING_VERIFY(lease <= m_options.lease);
  expire(now);
  auto& lessee = m_lessees[from];
  std::erase_if(lessee.grants,
                [&](grant const& g) { return g.sequence < request.active_sequence; });
  share_grant granted{.sequence = request.sequence, .lease = lease, .shares = {}};
  // A delayed or duplicated request must not replace the state of a newer one.
  bool const is_old = request.sequence <= lessee.newest_sequence;
  if (!is_old) {
    lessee.newest_sequence = request.sequence;
    lessee.demand = request.demand;
    lessee.last_request_at = now;
  }
  if (is_old || now < m_no_grants_before || lessee.grants.size() >= m_options.max_grants) {
    granted.lease = base::duration::zero();
    return granted;
  }
  for (auto const& [key, limit] : deployment_limits) {
    std::uint64_t const floors = total_floors(limit);
    std::uint64_t const pool = limit - floors;
    std::uint64_t others = 0;
    for (auto const& [id, other] : m_lessees) {
      others += id == from ? 0 : committed(other, key);
    }
    std::uint64_t const room = pool - std::min(pool, others);
    std::uint64_t const share = std::min(room, fair_share(key, pool, from));
    CATKINLANDING_VERIFY(floors + others + share <= std::max(limit, floors + others));
    if (share > 0) {
      granted.shares[key] = share;
    }
  }
  lessee.grants.push_back(
      {.sequence = request.sequence, .lease_end = now + lease, .shares = granted.shares});
  return granted;
}

bool share_allocator::fits(shares const& deployment_limits, base::monotonic_time now) {
  expire(now);
  shares out;
  for (auto const& [id, lessee] : m_lessees) {
    shares max_share;
    for (auto const& grant : lessee.grants) {
      for (auto const& [key, share] : grant.shares) {
        max_share[key] = std::max(max_share[key], share);
      }
    }
    for (auto const& [key, share] : max_share) {
      out[key] += share;
    }
  }
  return std::ranges::all_of(out, [&](auto const& item) {
    return item.second <= value_in(deployment_limits, item.first);
  });
}

shares share_allocator::demand() const {
  shares sum;
  for (auto const& [id, lessee] : m_lessees) {
    for (auto const& [key, demand] : lessee.demand) {
      sum[key] += demand;
    }
  }
  return sum;
}

std::uint64_t share_allocator::total_floors(std::uint64_t limit) const {
  if (m_options.instances == 0) {
    return 0;
  }
  return floor_of(limit, m_options.floor_permille, m_options.instances) * m_options.instances;
}

std::uint64_t share_allocator::floor_of(std::uint64_t limit, std::uint64_t floor_permille,
                                        std::size_t instances) {
  return limit * floor_permille / whole_permille / instances;
}

std::uint64_t share_allocator::committed(lessee const& lessee, share_key const& key) {
  std::uint64_t max_share = 0;
  for (auto const& grant : lessee.grants) {
    max_share = std::max(max_share, value_in(grant.shares, key));
  }
  return max_share;
}

std::uint64_t share_allocator::fair_share(share_key const& key, std::uint64_t pool,
                                          base::instance_id const& asking) const {
  // Half by demand and half evenly, so that an instance whose demand starts gets a share at once.
  std::uint64_t total = 0;
  for (auto const& [id, lessee] : m_lessees) {
    total += value_in(lessee.demand, key);
  }
  std::uint64_t const even = pool / 2 / std::max(m_options.instances, m_lessees.size());
  if (total == 0) {
    return even;
  }
  std::uint64_t const own = value_in(m_lessees.at(asking).demand, key);
  return even + pool / 2 * own / total;
}

void share_allocator::expire(base::monotonic_time now) {
  for (auto& [id, lessee] : m_lessees) {
    std::erase_if(lessee.grants, [&](grant const& g) { return g.lease_end <= now; });
  }
  // A lessee that is gone must not go on counting in the division by demand.
  std::erase_if(m_lessees, [&](auto const& item) {
    return item.second.grants.empty() &&
           now >= item.second.last_request_at + forget_after_leases * m_options.lease;
  });
}

} // namespace catkinlanding::limits
