#include <libraries/instance/state_change.h>

#include <gtest/gtest.h>

namespace catkinlanding::instance {

namespace {

TEST(state_change_detector, reports_each_change_once) {
  state_change_detector detector;
  EXPECT_TRUE(detector.observe(instance_state{}).empty());
  instance_state const leading{
      .role = consensus::role::leader, .term = 3, .has_lease = true, .revision = 7, .endpoints = 2};
  std::vector<state_change> const expected{
      {.kind = state_change_kind::leadership_won, .value = 3},
      {.kind = state_change_kind::lease_regained},
      {.kind = state_change_kind::revision_reached, .value = 7},
      {.kind = state_change_kind::endpoints_changed, .value = 2},
  };
  EXPECT_EQ(detector.observe(leading), expected);
  EXPECT_TRUE(detector.observe(leading).empty());
  std::vector<state_change> const ended{
      {.kind = state_change_kind::leadership_lost, .value = 4},
      {.kind = state_change_kind::lease_lost},
  };
  EXPECT_EQ(detector.observe(instance_state{.term = 4, .revision = 7, .endpoints = 2}), ended);
}

TEST(state_change_detector, reports_added_and_removed_voters) {
  state_change_detector detector;
  deployment_state state{.voters = {{.instance = {"a1"}}}};
  EXPECT_EQ(detector.observe(state),
            (std::vector<state_change>{{.kind = state_change_kind::voter_added, .subject = "a1"}}));
  EXPECT_TRUE(detector.observe(state).empty());
  EXPECT_EQ(
      detector.observe(deployment_state{}),
      (std::vector<state_change>{{.kind = state_change_kind::voter_removed, .subject = "a1"}}));
}

TEST(state_change_detector, reports_silent_zones_and_their_return) {
  state_change_detector detector;
  deployment_state state{.zones = {{.zone = {"south"}, .live = 2, .silent = 0}}};
  EXPECT_TRUE(detector.observe(state).empty());
  state.zones = {{.zone = {"south"}, .live = 0, .silent = 2}};
  EXPECT_EQ(
      detector.observe(state),
      (std::vector<state_change>{{.kind = state_change_kind::zone_silent, .subject = "south"}}));
  state.zones = {{.zone = {"south"}, .live = 1, .silent = 1}};
  EXPECT_EQ(
      detector.observe(state),
      (std::vector<state_change>{{.kind = state_change_kind::zone_recovered, .subject = "south"}}));
}

} // namespace

} // namespace catkinlanding::instance
