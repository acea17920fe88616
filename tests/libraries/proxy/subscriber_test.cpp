#include <libraries/proxy/subscriber.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{};

subscriber made() {
  return subscriber({.self = {"entry"}, .seeds = {{"a"}, {"b"}, {"c"}}});
}

update told() {
  update made;
  made.state = {.document_revision = 1};
  return made;
}

/// Whom it asks where "b" names "a" for the leader, and the others know none.
std::set<base::instance_id> asked_in_a_second(subscriber& one) {
  std::set<base::instance_id> asked;
  for (auto time = start; time < start + 1s; time += 100ms) {
    auto upstream = one.tick(time);
    for (int answers = 0; upstream && answers < 2; ++answers) {
      asked.insert(*upstream);
      auto const referred =
          *upstream == base::instance_id{"b"} ? referral{.leader = {{"a"}}} : referral{};
      upstream = one.follow(referred, *upstream, time + 3ms + answers * 3ms);
    }
  }
  return asked;
}

// The pattern: an entry instance was killed, and its callers' next connections reach it as soon as
// it listens.
TEST(subscribers, ask_the_leader_as_soon_as_an_instance_names_it) {
  auto one = made();
  auto const first = one.tick(start);
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(one.follow({.leader = {{"leader"}}}, *first, start + 2ms), base::instance_id{"leader"});
  one.note_update(told(), {"leader"}, start + 4ms);
  EXPECT_TRUE(one.is_connected(start + 4ms));
}

TEST(subscribers, ask_nobody_again_before_the_interval_once_the_leader_answers) {
  auto one = made();
  ASSERT_TRUE(one.tick(start).has_value());
  one.note_update(told(), {"leader"}, start + 2ms);
  EXPECT_FALSE(one.tick(start + 100ms).has_value());
  EXPECT_EQ(one.tick(start + 400ms), base::instance_id{"leader"});
}

TEST(subscribers, turn_to_every_instance_soon_while_none_answers) {
  auto one = made();
  std::vector<base::instance_id> asked;
  for (auto time = start; time < start + 300ms; time += 100ms) {
    asked.push_back(one.tick(time).value());
  }
  std::ranges::sort(asked);
  EXPECT_EQ(asked, (std::vector<base::instance_id>{{"a"}, {"b"}, {"c"}}));
}

TEST(subscribers, follow_one_referral_between_two_questions) {
  auto one = made();
  auto const first = one.tick(start);
  ASSERT_EQ(one.follow({.leader = {{"x"}}}, *first, start + 1ms), base::instance_id{"x"});
  EXPECT_EQ(one.follow({.leader = {{"y"}}}, {"x"}, start + 2ms), std::nullopt);
  EXPECT_EQ(one.tick(start + 101ms), base::instance_id{"y"});
}

// The pattern: the seeds are exchanged for other instances, and all former ones go away.
TEST(subscribers, ask_the_seeds_that_the_settings_name_now) {
  auto one = made();
  one.use_seeds({{"d"}});
  std::vector<base::instance_id> asked;
  for (auto time = start; time < start + 400ms; time += 100ms) {
    asked.push_back(one.tick(time).value());
  }
  EXPECT_NE(std::ranges::find(asked, base::instance_id{"d"}), asked.end());
}

// The pattern: two of the seeds are cut off together, one of them the former leader, and the other
// still points at it.
TEST(subscribers, ask_every_seed_though_two_point_at_a_leader_that_lost_its_lease) {
  for (std::uint64_t seed = 0; seed < 10; ++seed) {
    subscriber one({.self = {"entry"}, .seeds = {{"a"}, {"b"}, {"c"}}, .seed = seed});
    EXPECT_EQ(asked_in_a_second(one), (std::set<base::instance_id>{{"a"}, {"b"}, {"c"}}));
  }
}

} // namespace

} // namespace catkinlanding::proxy
