#include <libraries/routing/chooser.h>

#include <gtest/gtest.h>

namespace catkinlanding::routing {

namespace {

using std::chrono::seconds;

/// Delivers the same evidence once a second for a minute. Returns whether the version is suspended
/// afterwards.
bool is_suspended_after(evidence const& report) {
  chooser chooser{{.seed = 1}};
  base::monotonic_time now{std::chrono::hours(1)};
  for (int i = 0; i < 60; ++i) {
    now += seconds(1);
    chooser.receive(report, now);
  }
  return chooser.is_suspended({"hat"}, {"cheap"});
}

evidence failures(std::uint32_t attempts, std::uint32_t failed) {
  return {.ratings = {},
          .outcomes = {
              {.model = {"hat"}, .version = {"cheap"}, .attempts = attempts, .failed = failed}}};
}

evidence ratings(std::uint32_t good, std::uint32_t poor) {
  return {.ratings = {{.model = {"hat"},
                       .first = {"cheap"},
                       .second = {},
                       .request_class = {"lookup"},
                       .good = good,
                       .poor = poor}},
          .outcomes = {}};
}

// Guards against: a busy peer's report of a healthy version opens the breaker, as the bad outcomes
// of one second count as a row of bad outcomes.
TEST(peer_evidence, that_is_healthy_suspends_no_version_however_busy_the_peer) {
  EXPECT_FALSE(is_suspended_after(failures(50, 1)));
  EXPECT_FALSE(is_suspended_after(failures(500, 10)));
  EXPECT_FALSE(is_suspended_after(failures(5000, 100)));
  EXPECT_FALSE(is_suspended_after(ratings(45, 15)));
  EXPECT_FALSE(is_suspended_after(ratings(450, 150)));
}

TEST(peer_evidence, of_a_degraded_version_suspends_it) {
  EXPECT_TRUE(is_suspended_after(failures(50, 20)));
  EXPECT_TRUE(is_suspended_after(failures(5, 2)));
  EXPECT_TRUE(is_suspended_after(failures(5000, 2000)));
}

} // namespace

} // namespace catkinlanding::routing
