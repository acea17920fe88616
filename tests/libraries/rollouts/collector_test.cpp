#include <libraries/rollouts/collector.h>
#include <libraries/rollouts/reporter.h>

#include <gtest/gtest.h>

#include <array>

namespace catkinlanding::rollouts {

namespace {

TEST(collector, counts_no_answer_twice_across_receivers) {
  version_key const key{{"hat"}, {"2"}};
  std::array<base::instance_id, 2> const receivers{{{"left"}, {"right"}}};
  std::array<collector, 2> collectors;
  reporter reports({.incarnation = 1});
  base::monotonic_time now{};
  constexpr std::uint64_t rounds = 30;
  for (std::uint64_t round = 0; round <= rounds; ++round) {
    now += std::chrono::seconds(1);
    // The reports alternate between the receivers in groups of three.
    auto const to = round / 3 % 2;
    auto const report = reports.next(receivers.at(to), {{key, {.answers = round}}}, now);
    collectors.at(to).receive({"entry"}, report, now);
    collectors.at(to).receive({"entry"}, report, now);
  }
  auto const counted = collectors[0].total(key).answers + collectors[1].total(key).answers;
  // The interval at each change of receivers is counted by neither.
  EXPECT_EQ(counted, rounds - rounds / 3);
}

} // namespace

} // namespace catkinlanding::rollouts
