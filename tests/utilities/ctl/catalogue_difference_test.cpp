#include <utilities/ctl/catalogue_difference.h>
#include <utilities/ctl/commands.h>
#include <utilities/ctl/report.h>

#include <gtest/gtest.h>

namespace catkinlanding::ctl {

namespace {

catalogue::model model_named(char const* id, char const* owner) {
  catalogue::model value;
  value.id = {id};
  value.stewardship.owner = owner;
  return value;
}

TEST(catalogue_difference, contains_only_differing_entries) {
  catalogue::document document;
  document.apply({.base_revision = 0,
                  .upserts = {model_named("same", "ops"), model_named("other", "ops"),
                              model_named("gone", "ops")}});
  auto const found = difference(document, {model_named("same", "ops"), model_named("other", "new"),
                                           model_named("fresh", "ops")});
  ASSERT_EQ(found.added.size(), 1);
  EXPECT_EQ(catalogue::reference_to(found.added[0]).id, "fresh");
  ASSERT_EQ(found.changed.size(), 1);
  EXPECT_EQ(catalogue::reference_to(found.changed[0]).id, "other");
  ASSERT_EQ(found.missing.size(), 1);
  EXPECT_EQ(found.missing[0].id, "gone");
  EXPECT_EQ(difference_text(found, 1, false), "+ model fresh\n~ model other\n- model gone\n");
}

TEST(catalogue_difference, is_empty_for_equal_catalogues) {
  catalogue::document document;
  document.apply({.base_revision = 0, .upserts = {model_named("same", "ops")}});
  EXPECT_TRUE(difference(document, {model_named("same", "ops")}).is_empty(true));
  EXPECT_TRUE(difference(document, {}).is_empty(false));
  EXPECT_FALSE(difference(document, {}).is_empty(true));
}

TEST(commands, require_all_of_their_arguments) {
  EXPECT_EQ(find_command({}), nullptr);
  EXPECT_EQ(find_command({"catalogue"}), nullptr);
  EXPECT_EQ(find_command({"catalogue", "apply"}), nullptr);
  ASSERT_NE(find_command({"catalogue", "apply", "file"}), nullptr);
  EXPECT_NE(command_help().find("not yet in force everywhere"), std::string::npos);
}

} // namespace

} // namespace catkinlanding::ctl
