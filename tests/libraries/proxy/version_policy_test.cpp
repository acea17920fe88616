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
    made.word.id.value = std::move(id);
    made.word.version.value = std::move(version);
    return made;
  }

  [[nodiscard]] std::vector<known_endpoint const*> all() const {
    std::vector<known_endpoint const*> pointers;
    for (auto const& one : m_endpoints) {
      pointers.push_back(&one);
    }
    return pointers;
  }

  void enter(rollout_state state) {
    m_policy.take({{.service = {"llm"}, .target = {"v2"}, .state = state, .number = 3}});
  }

  [[nodiscard]] std::vector<known_endpoint const*> admit(std::string session) const {
    request_facts facts;
    facts.id.value = "any";
    facts.session.value = std::move(session);
    return m_policy.admit(all(), {"llm"}, facts);
  }

  [[nodiscard]] static std::size_t count(std::vector<known_endpoint const*> const& endpoints,
                                         std::string const& version) {
    return static_cast<std::size_t>(std::ranges::count_if(
        endpoints, [&](auto const* one) { return one->word.version.value == version; }));
  }

  std::vector<known_endpoint> m_endpoints;
  version_policy m_policy{{.trial_permille = 80}};
};

TEST_F(version_policies, keep_every_session_in_place_until_the_trial) {
  enter(rollout_state::prepared);
  for (int i = 0; i < 500; ++i) {
    EXPECT_EQ(count(admit("s" + std::to_string(i)), "v2"), 0U);
  }
}

TEST_F(version_policies, send_a_share_of_the_sessions_to_few_endpoints_on_trial) {
  enter(rollout_state::on_trial);
  int drawn = 0;
  for (int i = 0; i < 2000; ++i) {
    auto const admitted = admit("s" + std::to_string(i));
    if (count(admitted, "v2") > 0) {
      ++drawn;
      EXPECT_EQ(admitted.size(), 1U);
    }
  }
  // 80 thousandths of 2,000, and four standard deviations.
  EXPECT_NEAR(drawn, 160, 49);
}

TEST_F(version_policies, draw_the_same_sessions_on_every_instance) {
  enter(rollout_state::on_trial);
  version_policy other({.trial_permille = 80});
  other.take(
      {{.service = {"llm"}, .target = {"v2"}, .state = rollout_state::on_trial, .number = 3}});
  for (int i = 0; i < 200; ++i) {
    request_facts facts;
    facts.id.value = "unlike" + std::to_string(i);
    facts.session.value = "s" + std::to_string(i);
    EXPECT_EQ(other.admit(all(), {"llm"}, facts), admit(facts.session.value));
  }
}

TEST_F(version_policies, end_on_one_version) {
  enter(rollout_state::succeeded);
  EXPECT_EQ(count(admit("s"), "v1"), 0U);
  EXPECT_EQ(count(admit("s"), "v2"), 12U);
  enter(rollout_state::rolled_back);
  EXPECT_EQ(count(admit("s"), "v1"), 12U);
  EXPECT_EQ(count(admit("s"), "v2"), 0U);
}

} // namespace

} // namespace catkinlanding::proxy
