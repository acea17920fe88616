#include <libraries/proxy/time_histogram.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

TEST(time_histograms, move_a_doubled_time_by_two_buckets) {
  for (auto const time : {3ms, 50ms, 700ms, 9'000ms}) {
    time_histogram single;
    time_histogram doubled;
    single.add(time);
    doubled.add(2 * time);
    for (std::size_t bucket = 0; bucket + 2 < time_histogram::bucket_count; ++bucket) {
      EXPECT_EQ(single.count_from(bucket), doubled.count_from(bucket + 2)) << time.count();
    }
  }
}

TEST(time_histograms, count_extreme_times_at_the_ends) {
  time_histogram histogram;
  histogram.add(0ms);
  histogram.add(-5ms);
  histogram.add(std::chrono::hours(24));
  EXPECT_EQ(histogram.count(), 3U);
  EXPECT_EQ(histogram.count_from(1), 1U);
  EXPECT_EQ(histogram.count_from(time_histogram::bucket_count - 1), 1U);
  EXPECT_EQ(histogram.count_from(time_histogram::bucket_count + 5), 0U);
}

TEST(time_histograms, tell_the_median) {
  time_histogram histogram;
  EXPECT_EQ(histogram.median(), 0ms);
  histogram.add(10ms);
  histogram.add(100ms);
  histogram.add(1s);
  EXPECT_GE(histogram.median(), 100ms);
  EXPECT_LT(histogram.median(), 150ms);
}

TEST(time_histograms, subtract_an_earlier_state) {
  time_histogram histogram;
  histogram.add(10ms);
  auto const earlier = histogram;
  histogram.add(1s);
  histogram -= earlier;
  EXPECT_EQ(histogram.count(), 1U);
  histogram -= earlier;
  EXPECT_EQ(histogram.count_from(0), 1U);
}

} // namespace

} // namespace catkinlanding::proxy
