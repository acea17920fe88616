#include <libraries/routing/breaker.h>

#include <gtest/gtest.h>

namespace catkinlanding::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double baseline_failure_rate = 0.02;

class opened_breaker : public ::testing::Test {
protected:
  void SetUp() override {
    for (int i = 0; i < 20; ++i) {
      observe(true, m_opened_at);
    }
    ASSERT_TRUE(m_breaker.is_open());
  }

  void observe(bool is_bad, base::monotonic_time now) {
    m_breaker.observe(health_signal::failure, {.good = is_bad ? 0U : 1U, .bad = is_bad ? 1U : 0U},
                      baseline_failure_rate, now);
  }

  base::monotonic_time const m_opened_at{seconds(1000)};
  breaker m_breaker{{}};
};

TEST_F(opened_breaker, ignores_good_outcomes_of_attempts_sent_before_opening) {
  // Most answers of a degraded version are good, so attempts in flight when the breaker opened
  // report many good outcomes in the seconds after.
  for (int i = 0; i < 200; ++i) {
    observe(false, m_opened_at + milliseconds(50 * i));
  }
  EXPECT_TRUE(m_breaker.is_open());
}

TEST_F(opened_breaker, closes_after_good_probes) {
  for (int i = 0; i < 200; ++i) {
    observe(false, m_opened_at + seconds(30 + i));
  }
  EXPECT_FALSE(m_breaker.is_open());
}

} // namespace

} // namespace catkinlanding::routing
