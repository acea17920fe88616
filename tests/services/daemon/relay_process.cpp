#include <tests/support/deployment.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>

namespace catkinlanding::testing {

namespace {

std::string catalogue_with(std::string const& model) {
  return R"({"models": [{"id": ")" + model + R"(", "owner": "ops", "class": "interactive"}]})";
}

std::vector<deployment::instance_plan> plans() {
  return {{.id = "a1", .zone = "a", .is_control = true},
          {.id = "b1", .zone = "b", .is_control = true},
          {.id = "c1", .zone = "c", .is_control = true},
          {.id = "ar", .zone = "a", .is_relay = true},
          {.id = "a2", .zone = "a"},
          {.id = "a3", .zone = "a"}};
}

bool reaches_revision(deployment const& deployment, std::string const& id, int revision) {
  return eventually([&] {
    auto const status = deployment.status(id);
    return status["revision"] == revision && status["has_lease"] == true;
  });
}

TEST(relays, may_be_killed_or_suspended_while_their_zone_follows_the_leader) {
  deployment deployment(plans());
  deployment.start_all_instances();
  deployment.found();
  EXPECT_EQ(deployment.apply("a2", catalogue_with("first")).exit_code, 0);

  deployment.instance("ar").kill();
  static_cast<void>(deployment.apply("a2", catalogue_with("second")));
  EXPECT_TRUE(reaches_revision(deployment, "a2", 2));
  EXPECT_TRUE(reaches_revision(deployment, "a3", 2));

  deployment.start_instance("ar");
  EXPECT_TRUE(reaches_revision(deployment, "ar", 2));
  deployment.instance("ar").send_signal(SIGSTOP);
  static_cast<void>(deployment.apply("a2", catalogue_with("third")));
  EXPECT_TRUE(reaches_revision(deployment, "a2", 3));
  EXPECT_TRUE(reaches_revision(deployment, "a3", 3));
  deployment.instance("ar").send_signal(SIGCONT);
  EXPECT_TRUE(reaches_revision(deployment, "ar", 3));
}

TEST(relays, are_never_made_voters) {
  deployment deployment(plans());
  deployment.start_all_instances();
  EXPECT_NE(deployment.run_catkinctl("a1", {"voters", "found", "a1", "ar"}).exit_code, 0);
  deployment.found();
  EXPECT_NE(deployment.run_catkinctl("a1", {"voters", "set", "a1", "b1", "ar"}).exit_code, 0);
  EXPECT_EQ(deployment.run_catkinctl("a1", {"voters", "set", "a1", "b1", "c1"}).exit_code, 0);
}

} // namespace

} // namespace catkinlanding::testing
