#include <libraries/proxy/settings.h>

#include <gtest/gtest.h>

#include <string>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

/// Settings with this object of bounds.
std::string settings_with(std::string const& bounds) {
  return R"({"name": "entry-1", "zone": "a", "listeners": {"peers": "10.0.0.1:7000"},
             "seeds": ["10.0.0.2:8000"], "bounds": )" +
         bounds + "}";
}

// A platform that scales its bounds to the size of a deployment states fractions.
TEST(process_settings, accept_fractions_for_every_bound) {
  auto const settings = parse_settings(settings_with(R"({
    "stop_patience_ms": 8000.5, "retry_ratio": 0.25, "retry_slack": 33.157894,
    "retry_window_ms": 10000.5, "trial_share": 0.0975, "resend_ms": 4000.5, "memory_mb": 160.5,
    "max_descriptors": 3075.5,
    "announcement_interval_ms": 1200.5})"));
  ASSERT_TRUE(settings.has_value());
  EXPECT_DOUBLE_EQ(settings->retry_slack, 33.157894);
  EXPECT_DOUBLE_EQ(settings->retry_ratio, 0.25);
  EXPECT_EQ(settings->retry_window, 10000500us);
  EXPECT_EQ(settings->resend_timeout, 4000500us);
  EXPECT_EQ(settings->memory_bytes, 160UL * 1024 * 1024 + 512 * 1024);
  EXPECT_EQ(settings->max_descriptors, 3075U);
}

TEST(process_settings, accept_whole_numbers_for_every_bound) {
  auto const settings = parse_settings(settings_with(R"({
    "stop_patience_ms": 8000, "retry_ratio": 1, "retry_slack": 58,
    "retry_window_ms": 10000, "trial_share": 0, "resend_ms": 4000, "memory_mb": 160,
    "announcement_interval_ms": 1200})"));
  ASSERT_TRUE(settings.has_value());
  EXPECT_DOUBLE_EQ(settings->retry_slack, 58.0);
}

TEST(process_settings, refuse_bounds_below_zero_and_of_other_types) {
  for (auto const* bounds :
       {R"({"retry_slack": -1})", R"({"retry_slack": "10"})", R"({"retry_ratio": -0.1})",
        R"({"trial_share": 1.5})", R"({"retry_window_ms": 0})", R"({"resend_ms": 0})",
        R"({"memory_mb": 0})", R"({"memory_mb": 1e30})", R"({"max_descriptors": 63})",
        R"({"max_descriptors": -1})", R"({"max_descriptors": 1e30})"}) {
    EXPECT_FALSE(parse_settings(settings_with(bounds)).has_value()) << bounds;
  }
}

TEST(process_settings, leave_the_descriptors_to_the_operating_system_by_default) {
  for (auto const* bounds : {"{}", R"({"max_descriptors": 0})"}) {
    auto const settings = parse_settings(settings_with(bounds));
    ASSERT_TRUE(settings.has_value());
    EXPECT_FALSE(settings->max_descriptors.has_value());
  }
}

TEST(process_settings, replace_every_doubtful_answer_unless_told_otherwise) {
  auto const settings = parse_settings(settings_with("{}"));
  ASSERT_TRUE(settings.has_value());
  EXPECT_EQ(settings->replaced_answers, replaced_answers::all);
}

TEST(process_settings, know_how_doubtful_answers_are_replaced) {
  auto const settings = parse_settings(settings_with(R"({}, "replaced_answers": "by_capacity")"));
  ASSERT_TRUE(settings.has_value());
  EXPECT_EQ(settings->replaced_answers, replaced_answers::by_capacity);
  EXPECT_FALSE(parse_settings(settings_with(R"({}, "replaced_answers": "sometimes")")).has_value());
}

TEST(process_settings, know_what_the_deployment_has_to_tolerate) {
  auto const settings = parse_settings(settings_with(
      R"({}, "tolerated_losses": {"instances": 2, "availability_zones": 1, "zones": ["a", "b"]})"));
  ASSERT_TRUE(settings.has_value());
  EXPECT_EQ(settings->tolerated_losses,
            (voters::tolerated_losses{.instances = 2, .availability_zones = 1, .zone_count = 2}));
  EXPECT_FALSE(parse_settings(settings_with("{}"))->tolerated_losses.has_value());
  EXPECT_FALSE(
      parse_settings(
          settings_with(R"({}, "tolerated_losses": {"instances": -1, "availability_zones": 1})"))
          .has_value());
}

// Guards against a count that was forgotten and reads as no loss at all, which lets five voters
// shrink to three.
TEST(process_settings, need_both_counts_of_what_is_tolerated) {
  for (auto const* losses :
       {"{}", R"({"zones": ["a"]})", R"({"instances": 2})", R"({"availability_zones": 1})"}) {
    auto const text = std::string(R"({}, "tolerated_losses": )") + losses;
    EXPECT_FALSE(parse_settings(settings_with(text)).has_value()) << losses;
  }
}

} // namespace

} // namespace catkinlanding::proxy
