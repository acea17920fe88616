#include <libraries/proxy/subscriber.h>

#include <gtest/gtest.h>

#include <algorithm>

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

} // namespace

} // namespace catkinlanding::proxy
