#include <libraries/base/hash.h>
#include <libraries/warmup/share_holders.h>

#include <algorithm>
#include <utility>

namespace catkinlanding::warmup {

void share_holders::use_instances(std::vector<base::instance_id> instances) {
  if (instances != m_instances) {
    m_instances = std::move(instances);
    ++m_instances_revision;
  }
}

std::size_t share_holders::grant(base::endpoint_id const& endpoint,
                                 base::instance_id const& instance, base::monotonic_time now) {
  auto& known = m_endpoints[endpoint];
  if (known.chosen_from != m_instances_revision) {
    known.chosen = choose(endpoint);
    known.chosen_from = m_instances_revision;
    known.is_settled = false;
  }
  if (!known.is_settled) {
    settle(known, now);
  }
  std::size_t held = 0;
  for (auto& share : known.all) {
    if (!share.is_revoked && share.holder == instance) {
      share.granted_at = now;
      ++held;
    }
  }
  return held;
}

void share_holders::sweep(base::monotonic_time now) {
  std::erase_if(m_endpoints, [&](auto const& item) {
    return std::ranges::all_of(item.second.all,
                               [&](share const& share) { return has_ended(share, now); });
  });
}

std::vector<base::instance_id> share_holders::choose(base::endpoint_id const& endpoint) const {
  auto const seed = base::stable_hash(endpoint.value);
  std::vector<std::pair<std::uint64_t, base::instance_id const*>> ranked;
  ranked.reserve(m_instances.size());
  for (auto const& instance : m_instances) {
    ranked.emplace_back(base::stable_hash(instance.value, seed), &instance);
  }
  auto const count = std::min(ranked.size(), shares);
  std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count));
  std::vector<base::instance_id> chosen;
  for (std::size_t i = 0; i < shares && count > 0; ++i) {
    chosen.push_back(*ranked[i % count].second);
  }
  return chosen;
}

bool share_holders::has_ended(share const& share, base::monotonic_time now) const {
  return !share.granted_at || now >= *share.granted_at + m_options.grant_lifetime;
}

void share_holders::settle(endpoint_shares& known, base::monotonic_time now) const {
  auto unassigned = known.chosen;
  for (auto& share : known.all) {
    auto const found = std::ranges::find(unassigned, share.holder);
    share.is_revoked = found == unassigned.end();
    if (!share.is_revoked) {
      unassigned.erase(found);
    }
  }
  for (auto& share : known.all) {
    if (!unassigned.empty() && share.is_revoked && has_ended(share, now)) {
      share = {.holder = unassigned.front(), .granted_at = std::nullopt, .is_revoked = false};
      unassigned.erase(unassigned.begin());
    }
  }
  known.is_settled = unassigned.empty();
}

} // namespace catkinlanding::warmup
