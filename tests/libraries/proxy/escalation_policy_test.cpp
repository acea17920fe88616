#include <libraries/proxy/escalation_policy.h>

#include <gtest/gtest.h>

#include <random>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{};
constexpr base::duration target = 3s;

TEST(escalation_policies, require_full_confidence_at_low_pressure) {
  escalation_policy policy({.max_required_confidence = 0.6});
  EXPECT_DOUBLE_EQ(policy.required_confidence(start), 0.6);
  policy.note_first_token(100ms, target, start);
  EXPECT_DOUBLE_EQ(policy.required_confidence(start), 0.6);
}

TEST(escalation_policies, require_no_confidence_at_high_pressure) {
  escalation_policy policy{escalation_policy::options{}};
  for (int i = 0; i < 40; ++i) {
    policy.note_first_token(3s, target, start);
  }
  EXPECT_DOUBLE_EQ(policy.required_confidence(start), 0.0);
}

TEST(escalation_policies, escalate_again_after_a_pause) {
  escalation_policy policy({.half_life = 3s});
  for (int i = 0; i < 40; ++i) {
    policy.note_first_token(3s, target, start);
  }
  EXPECT_GT(policy.required_confidence(start + 12s), 0.0);
}

TEST(escalation_policies, ignore_routes_without_a_target) {
  escalation_policy policy{escalation_policy::options{}};
  policy.note_first_token(3s, 0s, start);
  EXPECT_GT(policy.required_confidence(start), 0.0);
}

/// A pool whose largest model processes a limited number of requests per second; further requests
/// wait in a queue.
class limited_pool {
public:
  explicit limited_pool(double per_second)
      : m_time_each(std::chrono::duration<double>(1.0 / per_second)) {}

  /// Returns the time until the largest model starts this request.
  base::duration begin(base::monotonic_time now) {
    m_free_at = std::max(m_free_at, now) + std::chrono::duration_cast<base::duration>(m_time_each);
    return m_free_at - now;
  }

private:
  std::chrono::duration<double> m_time_each;
  base::monotonic_time m_free_at{};
};

// More requests need the largest model than the pool can process. The delay must settle below the
// target without leaving the pool idle.
TEST(escalation_policies, keep_a_limited_pool_below_its_target_latency) {
  constexpr double requests_per_second = 20.0;
  escalation_policy policy{escalation_policy::options{}};
  limited_pool pool(5.0);
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> confidence(0.0, 1.0);
  int late = 0;
  int escalated = 0;
  auto now = start;
  for (int i = 0; i < 4000; ++i, now += std::chrono::milliseconds(50)) {
    if (confidence(random) >= policy.required_confidence(now)) {
      continue;
    }
    ++escalated;
    auto const took = pool.begin(now);
    late += took > target ? 1 : 0;
    policy.note_first_token(took, target, now + took);
  }
  EXPECT_LT(late, escalated / 20);
  double const seconds = 4000 / requests_per_second;
  EXPECT_GT(escalated, 0.7 * 5.0 * seconds);
}

} // namespace

} // namespace catkinlanding::proxy
