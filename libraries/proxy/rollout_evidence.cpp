#include <libraries/proxy/rollout_evidence.h>

#include <utility>

namespace catkinlanding::proxy {

namespace {

constexpr std::chrono::milliseconds slice_length{250};

void add(route_comparisons& sums, route_comparisons const& more) {
  for (auto const& [route, comparison] : more) {
    sums[route] += comparison;
  }
}

} // namespace

version_comparison& version_comparison::operator+=(version_comparison const& other) {
  target += other.target;
  old += other.old;
  return *this;
}

void rollout_evidence::report(base::instance_id const& from, rollout const& rollout,
                              std::vector<version_tally> const& tallies, base::monotonic_time now) {
  drop_old_slices(now);
  if (m_slices.empty() || now >= m_slices.back().began_at + slice_length) {
    m_slices.push_back({.began_at = now});
  }
  auto& reported = m_reported[from];
  for (auto const& tally : tallies) {
    if (tally.service != rollout.service || tally.rollout != rollout.number) {
      continue;
    }
    auto& known = reported[{tally.version, tally.route}];
    auto increment = tally.statistics;
    // Smaller counts than before come from an instance that has restarted.
    bool const continues_known = increment.answers >= known.answers && increment.bad >= known.bad;
    if (continues_known) {
      increment -= known;
    }
    known = tally.statistics;
    auto& comparison = m_slices.back().routes[tally.route];
    (tally.version == rollout.target ? comparison.target : comparison.old) += increment;
  }
}

route_comparisons rollout_evidence::total() const {
  auto sums = m_earlier;
  for (auto const& slice : m_slices) {
    add(sums, slice.routes);
  }
  return sums;
}

route_comparisons rollout_evidence::since(base::monotonic_time time) const {
  route_comparisons sums;
  for (auto const& slice : m_slices) {
    if (slice.began_at >= time) {
      add(sums, slice.routes);
    }
  }
  return sums;
}

void rollout_evidence::drop_old_slices(base::monotonic_time now) {
  while (!m_slices.empty() && now >= m_slices.front().began_at + recent_window + slice_length) {
    add(m_earlier, m_slices.front().routes);
    m_slices.pop_front();
  }
}

} // namespace catkinlanding::proxy
