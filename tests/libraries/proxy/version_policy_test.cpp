#include <libraries/proxy/version_policy.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

class version_policies : public ::testing::Test {
protected:
  version_policies() {
    for (int i = 0; i < 12; ++i) {
      m_endpoints.push_back(endpoint("old" + std::to_string(i), "v1"));
      m_endpoints.push_back(endpoint("new" + std::to_string(i), "v2"));
    }
  }

  static known_endpoint endpoint(std::string id, std::string version) {
    known_endpoint made;
    made.announcement.id.value = std::move(id);
    made.announcement.version.value = std::move(version);
    return made;
  }

  [[nodiscard]] std::vector<known_endpoint const*> all() const {
    std::vector<known_endpoint const*> pointers;
    for (auto const& one : m_endpoints) {
      pointers.push_back(&one);
    }
    return pointers;
  }

  void set_state(rollout_state state) {
    m_policy.apply({{.service = {"llm"}, .target = {"v2"}, .state = state, .number = 3}});
  }

  [[nodiscard]] std::vector<known_endpoint const*> eligible_endpoints(std::string session) const {
    request_facts facts;
    facts.id.value = "any";
    facts.session.value = std::move(session);
    return m_policy.eligible_endpoints(all(), {"llm"}, facts);
  }

  [[nodiscard]] static std::size_t count(std::vector<known_endpoint const*> const& endpoints,
                                         std::string const& version) {
    return static_cast<std::size_t>(std::ranges::count_if(
        endpoints, [&](auto const* one) { return one->announcement.version.value == version; }));
  }

  std::vector<known_endpoint> m_endpoints;
  version_policy m_policy{{.trial_permille = 80}};
};

TEST_F(version_policies, send_no_session_to_the_target_before_the_trial) {
  set_state(rollout_state::prepared);
  for (int i = 0; i < 500; ++i) {
    EXPECT_EQ(count(eligible_endpoints("s" + std::to_string(i)), "v2"), 0U);
  }
}

// Guards against a version that was rolled back and gets requests again as soon as the next rollout
// starts, because its endpoints are still running.
TEST_F(version_policies, send_nothing_to_a_version_that_an_earlier_rollout_rejected) {
  m_policy.apply({{.service = {"llm"},
                   .target = {"v3"},
                   .state = rollout_state::prepared,
                   .number = 4,
                   .rejected = {{"v2"}}}});
  auto const endpoints = eligible_endpoints("s");
  EXPECT_EQ(count(endpoints, "v2"), 0U);
  EXPECT_EQ(count(endpoints, "v1"), 12U);
}

TEST_F(version_policies, send_a_share_of_sessions_to_few_endpoints_during_the_trial) {
  set_state(rollout_state::on_trial);
  int drawn = 0;
  for (int i = 0; i < 2000; ++i) {
    auto const admitted = eligible_endpoints("s" + std::to_string(i));
    if (count(admitted, "v2") > 0) {
      ++drawn;
      EXPECT_EQ(admitted.size(), 1U);
    }
  }
  // 80 thousandths of 2,000, within four standard deviations.
  EXPECT_NEAR(drawn, 160, 49);
}

TEST_F(version_policies, select_the_same_sessions_on_every_instance) {
  set_state(rollout_state::on_trial);
  version_policy other({.trial_permille = 80});
  other.apply(
      {{.service = {"llm"}, .target = {"v2"}, .state = rollout_state::on_trial, .number = 3}});
  for (int i = 0; i < 200; ++i) {
    request_facts facts;
    facts.id.value = "unlike" + std::to_string(i);
    facts.session.value = "s" + std::to_string(i);
    EXPECT_EQ(other.eligible_endpoints(all(), {"llm"}, facts),
              eligible_endpoints(facts.session.value));
  }
}

TEST_F(version_policies, use_one_version_after_the_rollout) {
  set_state(rollout_state::succeeded);
  EXPECT_EQ(count(eligible_endpoints("s"), "v1"), 0U);
  EXPECT_EQ(count(eligible_endpoints("s"), "v2"), 12U);
  set_state(rollout_state::rolled_back);
  EXPECT_EQ(count(eligible_endpoints("s"), "v1"), 12U);
  EXPECT_EQ(count(eligible_endpoints("s"), "v2"), 0U);
}

} // namespace

} // namespace catkinlanding::proxy
