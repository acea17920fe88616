#include <libraries/voters/former_voters.h>

#include <gtest/gtest.h>

#include <string>

namespace catkinlanding::voters {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{};

std::set<base::instance_id> voters_with(int number) {
  return {{"a"}, {"b"}, {"n" + std::to_string(number)}};
}

// Guards against a follower that remembers the first instances that lost their places since it
// started, and not the latest ones once it leads: these would not find the group again.
TEST(former_voters, are_the_latest_ones_after_a_long_time_as_follower) {
  former_voters former({});
  auto now = start;
  constexpr int replacements = 100;
  for (int number = 0; number <= replacements; ++number) {
    now += 1h;
    former.note(voters_with(number), now);
  }
  now += 1min;
  EXPECT_EQ(former.take_due(now), (std::vector<base::instance_id>{{"n99"}}));
}

// Guards against more replacements within the retention than are remembered, of which the latest
// are left out.
TEST(former_voters, are_the_latest_ones_of_many) {
  former_voters former({.max_count = 2});
  auto now = start + 1h;
  for (int number = 0; number <= 4; ++number) {
    now += 1s;
    former.note(voters_with(number), now);
  }
  EXPECT_EQ(former.take_due(now), (std::vector<base::instance_id>{{"n2"}, {"n3"}}));
}

TEST(former_voters, are_told_once_in_an_interval_and_for_the_retention) {
  former_voters former({.retention = 10s, .interval = 1s});
  auto const lost_at = start + 1h;
  former.note(voters_with(1), lost_at - 1h);
  former.note(voters_with(2), lost_at);
  EXPECT_EQ(former.take_due(lost_at).size(), 1U);
  EXPECT_EQ(former.take_due(lost_at + 900ms).size(), 0U);
  EXPECT_EQ(former.take_due(lost_at + 1s).size(), 1U);
  EXPECT_EQ(former.take_due(lost_at + 10s).size(), 0U);
}

TEST(former_voters, are_forgotten_when_they_have_a_place_again) {
  former_voters former({});
  former.note(voters_with(1), start);
  former.note(voters_with(2), start + 1s);
  former.note({{"a"}, {"b"}, {"n1"}, {"n2"}}, start + 2s);
  EXPECT_TRUE(former.take_due(start + 3s).empty());
}

} // namespace

} // namespace catkinlanding::voters
