#include <libraries/proxy/stop_policy.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

/// How many times as long as so far an attempt is expected to take that exceeds what was learned:
/// as much again is to come, as nothing else is known of it.
constexpr int under_way_factor = 2;

} // namespace

base::monotonic_time stop_policy::limit(base::monotonic_time deadline) const {
  return m_deadline ? std::min(deadline, *m_deadline) : deadline;
}

std::optional<base::duration> stop_policy::expected_time(work const& work) {
  bool const is_outdated = work.learned && work.under_way > *work.learned;
  return is_outdated ? under_way_factor * work.under_way : work.learned;
}

base::monotonic_time stop_policy::latest_begin(work const& work) const {
  if (!m_deadline || work.deadline <= *m_deadline) {
    return base::monotonic_time::max();
  }
  auto const expected = expected_time(work);
  return expected ? *m_deadline - *expected : base::monotonic_time::min();
}

} // namespace catkinlanding::proxy
