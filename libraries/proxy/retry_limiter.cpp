#include <libraries/proxy/retry_limiter.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

/// Margin of the fixed part for instances that are missing from the instance count. The part that
/// follows the requests needs none: each instance uses that of its own requests.
constexpr double slack_safety_factor = 0.8;

} // namespace

void retry_limiter::note_request(base::monotonic_time now) {
  ++current_bucket(now).requests;
}

bool retry_limiter::try_spend(base::monotonic_time now, std::uint32_t reserved) {
  if (left(now) < 1.0 + reserved) {
    return false;
  }
  ++current_bucket(now).retries;
  return true;
}

double retry_limiter::left(base::monotonic_time now) {
  auto const& latest = current_bucket(now);
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
  for (auto const& one : m_buckets) {
    bool const is_recent = one.number + static_cast<std::int64_t>(bucket_count) >= latest.number;
    if (one.number >= 0 && is_recent) {
      requests += one.requests;
      retries += one.retries;
    }
  }
  auto const instances = std::max<std::uint32_t>(m_instances, 1);
  double const allowed =
      m_options.ratio * requests + slack_safety_factor * m_options.slack / instances;
  return allowed - retries;
}

retry_limiter::bucket& retry_limiter::current_bucket(base::monotonic_time now) {
  auto const length = m_options.window / static_cast<std::int64_t>(bucket_count);
  auto const number = now.time_since_epoch() / length;
  auto& found = m_buckets[static_cast<std::size_t>(number) % m_buckets.size()];
  if (found.number != number) {
    found = {.number = number};
  }
  return found;
}

} // namespace catkinlanding::proxy
