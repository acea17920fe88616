#include <libraries/proxy/subscriber.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{};

subscriber make_subscriber() {
  return subscriber({.self = {"entry"}, .seeds = {{"a"}, {"b"}, {"c"}}});
}

update make_update() {
  update made;
  made.state = {.document_revision = 1};
  return made;
}

/// Returns the instances contacted within a second, where "b" refers to "a" as the leader and the
/// others know no leader.
std::set<base::instance_id> contacted_within_a_second(subscriber& one) {
  std::set<base::instance_id> contacted;
  for (auto time = start; time < start + 1s; time += 100ms) {
    auto upstream = one.tick(time);
    for (int answers = 0; upstream && answers < 2; ++answers) {
      contacted.insert(*upstream);
      auto const referred =
          *upstream == base::instance_id{"b"} ? referral{.leader = {{"a"}}} : referral{};
      upstream = one.follow(referred, *upstream, time + 3ms + answers * 3ms);
    }
  }
  return contacted;
}

// A restarted entry instance receives requests as soon as it listens, so it must find the leader
// without delay.
TEST(subscribers, contact_the_leader_immediately_after_a_referral) {
  auto one = make_subscriber();
  auto const first = one.tick(start);
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(one.follow({.leader = {{"leader"}}}, *first, start + 2ms), base::instance_id{"leader"});
  one.note_update(make_update(), {"leader"}, start + 4ms);
  EXPECT_TRUE(one.is_connected(start + 4ms));
}

// Guards against subscriptions that are all lost in one dead connection to the leader.
TEST(subscribers, notice_that_the_last_subscription_had_no_reply) {
  auto one = make_subscriber();
  ASSERT_TRUE(one.tick(start).has_value());
  EXPECT_FALSE(one.lacks_reply());
  one.note_update(make_update(), {"leader"}, start + 2ms);
  ASSERT_TRUE(one.tick(start + 400ms).has_value());
  EXPECT_FALSE(one.lacks_reply());
  ASSERT_TRUE(one.tick(start + 800ms).has_value());
  EXPECT_TRUE(one.lacks_reply());
}

TEST(subscribers, wait_for_the_interval_after_the_leader_answers) {
  auto one = make_subscriber();
  ASSERT_TRUE(one.tick(start).has_value());
  one.note_update(make_update(), {"leader"}, start + 2ms);
  EXPECT_FALSE(one.tick(start + 100ms).has_value());
  EXPECT_EQ(one.tick(start + 400ms), base::instance_id{"leader"});
}

TEST(subscribers, try_every_instance_quickly_while_none_answers) {
  auto one = make_subscriber();
  std::vector<base::instance_id> contacted;
  for (auto time = start; time < start + 300ms; time += 100ms) {
    contacted.push_back(one.tick(time).value());
  }
  std::ranges::sort(contacted);
  EXPECT_EQ(contacted, (std::vector<base::instance_id>{{"a"}, {"b"}, {"c"}}));
}

TEST(subscribers, follow_one_referral_per_tick) {
  auto one = make_subscriber();
  auto const first = one.tick(start);
  ASSERT_EQ(one.follow({.leader = {{"x"}}}, *first, start + 1ms), base::instance_id{"x"});
  EXPECT_EQ(one.follow({.leader = {{"y"}}}, {"x"}, start + 2ms), std::nullopt);
  EXPECT_EQ(one.tick(start + 101ms), base::instance_id{"y"});
}

// All seeds are replaced, and the former ones shut down.
TEST(subscribers, contact_newly_configured_seeds) {
  auto one = make_subscriber();
  one.use_seeds({{"d"}});
  std::vector<base::instance_id> contacted;
  for (auto time = start; time < start + 400ms; time += 100ms) {
    contacted.push_back(one.tick(time).value());
  }
  EXPECT_NE(std::ranges::find(contacted, base::instance_id{"d"}), contacted.end());
}

// Two seeds are isolated together, one of them the former leader, and the other keeps referring to
// it. The subscriber must still try the remaining seed.
TEST(subscribers, try_every_seed_despite_referrals_to_a_former_leader) {
  for (std::uint64_t seed = 0; seed < 10; ++seed) {
    subscriber one({.self = {"entry"}, .seeds = {{"a"}, {"b"}, {"c"}}, .seed = seed});
    EXPECT_EQ(contacted_within_a_second(one), (std::set<base::instance_id>{{"a"}, {"b"}, {"c"}}));
  }
}

} // namespace

} // namespace catkinlanding::proxy
