#include <libraries/warmup/share_holders.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <set>

namespace catkinlanding::warmup {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{};
base::endpoint_id const endpoint{"e"};

std::vector<base::instance_id> instances(std::size_t count) {
  std::vector<base::instance_id> made;
  for (std::size_t i = 0; i < count; ++i) {
    made.push_back({"entry-" + std::to_string(i)});
  }
  return made;
}

class holders_of_shares : public ::testing::Test {
protected:
  [[nodiscard]] std::set<base::instance_id> holders(std::vector<base::instance_id> const& all,
                                                    base::monotonic_time now,
                                                    base::endpoint_id const& one = endpoint) {
    std::set<base::instance_id> found;
    m_granted = 0;
    for (auto const& instance : all) {
      auto const held = m_shares.grant(one, instance, now);
      m_granted += held;
      if (held > 0) {
        found.insert(instance);
      }
    }
    return found;
  }

  share_holders m_shares{{}};
  std::size_t m_granted = 0;
};

// Guards against shares that grow or get lost with the number of instances.
TEST_F(holders_of_shares, grant_all_shares_whatever_the_number_of_instances) {
  for (std::size_t const count : {1U, 2U, 3U, 4U, 75U, 600U}) {
    m_shares.clear();
    m_shares.use_instances(instances(count));
    EXPECT_EQ(holders(instances(count), start).size(), std::min<std::size_t>(count, 4));
    EXPECT_EQ(m_granted, share_holders::shares) << count;
  }
}

// Guards against a share that two instances use: the former holder may still send for a while.
TEST_F(holders_of_shares, keep_a_share_until_the_grant_of_its_former_holder_has_ended) {
  auto remaining = instances(20);
  m_shares.use_instances(remaining);
  auto const before = holders(remaining, start);
  std::erase(remaining, *before.begin());
  m_shares.use_instances(remaining);
  EXPECT_EQ(holders(remaining, start + 2999ms).size(), 3U);
  EXPECT_EQ(holders(remaining, start + 3s).size(), 4U);
}

// Guards against a holder that loses its share for a moment's silence, to itself or to others.
TEST_F(holders_of_shares, give_a_share_back_to_a_holder_that_returns_in_time) {
  auto const all = instances(20);
  m_shares.use_instances(all);
  auto const before = holders(all, start);
  auto remaining = all;
  std::erase(remaining, *before.begin());
  m_shares.use_instances(remaining);
  std::ignore = holders(remaining, start + 1s);
  m_shares.use_instances(all);
  EXPECT_EQ(holders(all, start + 2s), before);
}

// Guards against shares that move with each instance that comes: each move costs their use.
TEST_F(holders_of_shares, stay_when_other_instances_come) {
  m_shares.use_instances(instances(75));
  auto const before = holders(instances(75), start);
  m_shares.use_instances(instances(76));
  auto const after = holders(instances(76), start + 1s);
  std::vector<base::instance_id> kept;
  std::ranges::set_intersection(before, after, std::back_inserter(kept));
  EXPECT_GE(kept.size(), 3U);
}

// Guards against leaders that choose differently, and against a few instances that hold the shares
// of all endpoints.
TEST_F(holders_of_shares, are_alike_at_every_leader_and_differ_between_endpoints) {
  auto const all = instances(75);
  m_shares.use_instances(all);
  auto const chosen = holders(all, start);
  std::set<base::instance_id> used;
  for (int i = 0; i < 100; ++i) {
    used.merge(holders(all, start, {"endpoint-" + std::to_string(i)}));
  }
  EXPECT_GE(used.size(), 70U);
  m_shares.clear();
  EXPECT_EQ(holders(all, start), chosen);
}

} // namespace

} // namespace catkinlanding::warmup
