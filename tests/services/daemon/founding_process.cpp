#include <tests/support/deployment.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace catkinlanding::testing {

namespace {

constexpr auto catalogue = R"({"models": [{"id": "hat", "owner": "ops", "class": "interactive"}]})";

/// Applies the catalogue without waiting until it is in force. Returns whether it was acknowledged.
bool apply(deployment const& deployment, std::string const& id) {
  return deployment.run_catkinctl(id, {"catalogue", "apply", deployment.catalogue_path()})
             .exit_code == 0;
}

bool order(deployment const& deployment, std::string const& id) {
  return deployment.run_catkinctl(id, {"voters", "found", "a1", "b1", "c1"}).exit_code == 0;
}

bool reads_catalogue(deployment const& deployment, std::string const& id) {
  auto const shown = deployment.run_catkinctl(id, {"catalogue", "show"});
  return shown.exit_code == 0 && shown.output.find("hat") != std::string::npos;
}

// Guards against an acknowledged change that only the disk of the founder held, and against a group
// that never works again without that disk (review/1 for the proxy).
TEST(founding, keeps_the_first_change_when_the_founder_loses_its_disk) {
  deployment deployment({{.id = "a1", .zone = "a", .is_control = true},
                         {.id = "b1", .zone = "b", .is_control = true},
                         {.id = "c1", .zone = "c", .is_control = true}});
  deployment.write_catalogue(catalogue);
  deployment.start_instance("a1");
  // The founder alone must not acknowledge a change, whether or not it takes the order.
  ASSERT_TRUE(eventually([&] { return !deployment.status("a1").empty(); }));
  bool const is_ordered_alone = order(deployment, "a1");
  bool const is_applied_alone = is_ordered_alone && apply(deployment, "a1");
  if (!is_applied_alone) {
    deployment.start_instance("b1");
    deployment.start_instance("c1");
    ASSERT_TRUE(eventually([&] { return order(deployment, "a1") || apply(deployment, "a1"); }));
    ASSERT_TRUE(eventually([&] { return apply(deployment, "a1"); }));
  }
  deployment.instance("a1").kill();
  std::filesystem::remove_all(deployment.data_folder("a1"));
  deployment.start_all_instances();
  EXPECT_TRUE(eventually([&] { return reads_catalogue(deployment, "b1"); }))
      << "acknowledged by the founder alone: " << is_applied_alone;
}

} // namespace

} // namespace catkinlanding::testing
