#include <libraries/voters/tolerated_losses.h>

#include <gtest/gtest.h>

namespace catkinlanding::voters {

namespace {

/// Takes places away for as long as that is allowed.
std::size_t smallest_group(std::optional<tolerated_losses> const& losses, std::size_t voters) {
  while (voters > 1 && can_remove_voter(losses, voters)) {
    --voters;
  }
  return voters;
}

// Guards against a group that shrinks until fewer disks hold a change than may be lost (LOST).
TEST(tolerated_losses, keep_enough_voters_for_what_is_stated) {
  struct expectation {
    tolerated_losses losses;
    std::size_t voters = 0;
    std::size_t smallest = 0;
  };
  constexpr expectation expectations[]{
      {{.instances = 1, .availability_zones = 1, .zone_count = 3}, 3, 3},
      {{.instances = 1, .availability_zones = 1, .zone_count = 4}, 4, 3},
      {{.instances = 2, .availability_zones = 1, .zone_count = 5}, 5, 5},
      {{.instances = 2, .availability_zones = 1, .zone_count = 3}, 6, 5},
      {{.instances = 2, .availability_zones = 1, .zone_count = 4}, 7, 5},
      {{.instances = 2}, 7, 5},
      {{.instances = 3}, 7, 7},
  };
  for (auto const& expected : expectations) {
    EXPECT_EQ(smallest_group(expected.losses, expected.voters), expected.smallest)
        << expected.losses.instances << " of " << expected.voters;
  }
}

// Guards against a lost availability zone with several control instances, of which a group that
// counts instances alone would tolerate one.
TEST(tolerated_losses, count_the_voters_of_a_zone) {
  tolerated_losses const losses{.instances = 1, .availability_zones = 1, .zone_count = 3};
  EXPECT_EQ(lost_disks_to_tolerate(losses, 3), 1U);
  EXPECT_EQ(lost_disks_to_tolerate(losses, 6), 2U);
  EXPECT_EQ(smallest_group(losses, 6), 5U);
}

// Guards against settings that don't say what has to be tolerated, or in which zones, and a group
// that then tolerates less when instances are away than before.
TEST(tolerated_losses, keep_what_the_group_tolerates_if_nothing_is_stated) {
  tolerated_losses const without_zones{.instances = 1, .availability_zones = 1};
  for (std::size_t voters = 1; voters <= 9; ++voters) {
    auto const smallest = smallest_group(std::nullopt, voters);
    EXPECT_EQ(max_lost_disks(smallest), max_lost_disks(voters));
    EXPECT_EQ(smallest_group(without_zones, voters), smallest);
  }
}

// Guards against a group too small for what is stated that shrinks further.
TEST(tolerated_losses, do_not_shrink_a_group_that_tolerates_too_little) {
  tolerated_losses const losses{.instances = 3};
  EXPECT_FALSE(tolerates_lost_instances(losses, 5));
  EXPECT_FALSE(can_remove_voter(losses, 5));
  EXPECT_TRUE(tolerates_lost_instances(losses, 7));
}

// Guards against a deployment in two zones that waits at each founding for voters that would
// tolerate the loss of one of them: no number does.
TEST(tolerated_losses, wait_for_no_voters_on_account_of_zones) {
  tolerated_losses const losses{.instances = 1, .availability_zones = 1, .zone_count = 2};
  EXPECT_TRUE(tolerates_lost_instances(losses, 3));
  EXPECT_FALSE(can_remove_voter(losses, 3));
}

} // namespace

} // namespace catkinlanding::voters
