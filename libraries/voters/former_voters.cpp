#include <libraries/voters/former_voters.h>

#include <algorithm>

namespace catkinlanding::voters {

void former_voters::note(std::set<base::instance_id> const& voters, base::monotonic_time now) {
  // Instances that don't lead only take notes, so that these have to be bounded here.
  drop_expired(now);
  for (auto const& instance : m_voters) {
    m_lost_places_at.emplace(instance, now);
  }
  m_voters = voters;
  for (auto const& instance : m_voters) {
    m_lost_places_at.erase(instance);
  }
  while (m_lost_places_at.size() > m_options.max_count) {
    drop_oldest();
  }
}

std::vector<base::instance_id> former_voters::take_due(base::monotonic_time now) {
  drop_expired(now);
  std::vector<base::instance_id> due;
  if (now < m_told_at + m_options.interval) {
    return due;
  }
  m_told_at = now;
  for (auto const& [instance, since] : m_lost_places_at) {
    due.push_back(instance);
  }
  return due;
}

void former_voters::drop_expired(base::monotonic_time now) {
  std::erase_if(m_lost_places_at,
                [&](auto const& item) { return now >= item.second + m_options.retention; });
}

void former_voters::drop_oldest() {
  m_lost_places_at.erase(
      std::ranges::min_element(m_lost_places_at, {}, [](auto const& item) { return item.second; }));
}

} // namespace catkinlanding::voters
