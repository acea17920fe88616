#include <libraries/proxy/retry_limiter.h>

#include <gtest/gtest.h>

#include <deque>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{};

TEST(retry_limiters, divide_the_bound_among_instances) {
  retry_limiter alone({.ratio = 0.0, .slack = 100, .window = 10s});
  retry_limiter shared({.ratio = 0.0, .slack = 100, .window = 10s});
  shared.set_instances(10);
  int spent_alone = 0;
  int spent_shared = 0;
  for (int i = 0; i < 200; ++i) {
    spent_alone += alone.try_spend(start) ? 1 : 0;
    spent_shared += shared.try_spend(start) ? 1 : 0;
  }
  EXPECT_LE(spent_alone, 100);
  EXPECT_LE(10 * spent_shared, 100);
  EXPECT_GT(spent_shared, 0);
}

// Each instance uses the whole part that follows its own requests: a margin there kept second
// answers from callers, though the sum over all instances was below the bound.
TEST(retry_limiters, use_the_whole_part_of_their_own_requests) {
  retry_limiter limiter({.ratio = 0.5, .slack = 0, .window = 10s});
  limiter.set_instances(75);
  for (int i = 0; i < 10; ++i) {
    limiter.note_request(start);
  }
  EXPECT_DOUBLE_EQ(limiter.left(start), 5.0);
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(limiter.try_spend(start));
  }
  EXPECT_FALSE(limiter.try_spend(start));
}

// All requests fail, and each is retried as often as the limit allows.
TEST(retry_limiters, hold_in_every_window_while_all_requests_fail) {
  constexpr double ratio = 0.5;
  retry_limiter limiter({.ratio = ratio, .slack = 20, .window = 10s});
  std::deque<base::monotonic_time> requests;
  std::deque<base::monotonic_time> retries;
  for (auto now = start; now < start + 60s; now += 20ms) {
    // No more requests arrive after half the time, so that the window runs empty.
    if (now < start + 30s) {
      limiter.note_request(now);
      requests.push_back(now);
    }
    while (limiter.try_spend(now)) {
      retries.push_back(now);
    }
    while (!requests.empty() && requests.front() + 20s <= now) {
      requests.pop_front();
    }
    while (!retries.empty() && retries.front() + 10s <= now) {
      retries.pop_front();
    }
    ASSERT_LE(static_cast<double>(retries.size()),
              ratio * static_cast<double>(requests.size()) + 20)
        << (now - start).count();
  }
}

} // namespace

} // namespace catkinlanding::proxy
