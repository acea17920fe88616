#include <utilities/load/samples.h>

#include <gtest/gtest.h>

namespace catkinlanding::load {

namespace {

TEST(samples, returns_exact_percentiles) {
  samples values;
  EXPECT_EQ(values.percentile(0.5).count(), 0);
  for (int i = 100; i > 0; --i) {
    values.add(std::chrono::nanoseconds(i));
  }
  EXPECT_EQ(values.percentile(0.0).count(), 1);
  EXPECT_EQ(values.percentile(0.5).count(), 50);
  EXPECT_EQ(values.percentile(0.99).count(), 99);
  EXPECT_EQ(values.percentile(1.0).count(), 100);
}

} // namespace

} // namespace catkinlanding::load
