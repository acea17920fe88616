#include <libraries/evacuations/zone_table.h>

#include <gtest/gtest.h>

#include <string>

namespace catkinlanding::evacuations {

namespace {

/// A table that holds as many zones as it can, all out of use.
zone_table full_table() {
  zone_table table;
  for (std::size_t i = 0; i < zone_table::max_zones; ++i) {
    table.record({.zone = {std::to_string(i)}, .number = 2 * i + 1});
  }
  return table;
}

// Guards against an order that is applied twice and counts as a change.
TEST(zone_tables, record_each_order_once) {
  zone_table table;
  EXPECT_TRUE(table.record({.zone = {"x"}, .number = 1}));
  EXPECT_FALSE(table.record({.zone = {"x"}, .number = 1}));
  EXPECT_TRUE(table.is_out_of_use({"x"}));
}

// Guards against a late order that reverts a later one.
TEST(zone_tables, keep_the_order_with_the_highest_number) {
  zone_table table;
  table.record({.zone = {"x"}, .number = 2});
  EXPECT_FALSE(table.record({.zone = {"x"}, .number = 1}));
  EXPECT_FALSE(table.is_out_of_use({"x"}));
  EXPECT_EQ(table.last_number(), 2U);
}

TEST(zone_tables, list_zones_out_of_use_and_orders_by_number) {
  zone_table table;
  table.record({.zone = {"y"}, .number = 1});
  table.record({.zone = {"x"}, .number = 3});
  table.record({.zone = {"y"}, .number = 4});
  EXPECT_EQ(table.zones_out_of_use(), (std::set<base::availability_zone_id>{{"x"}}));
  EXPECT_EQ(table.all(),
            (std::vector<order>{{.zone = {"x"}, .number = 3}, {.zone = {"y"}, .number = 4}}));
}

// Guards against memory that grows with each misspelt zone.
TEST(zone_tables, refuse_further_zones_while_all_are_out_of_use) {
  auto table = full_table();
  EXPECT_FALSE(table.has_room_for({"another"}));
  EXPECT_FALSE(table.record({.zone = {"another"}, .number = 1001}));
  EXPECT_TRUE(table.has_room_for({"7"}));
  EXPECT_TRUE(table.is_out_of_use({"7"}));
}

// Guards against a table that misspelt zones, put back into use, have filled for ever.
TEST(zone_tables, forget_a_zone_in_use_to_make_room) {
  auto table = full_table();
  table.record({.zone = {"7"}, .number = 1000});
  EXPECT_TRUE(table.has_room_for({"another"}));
  EXPECT_TRUE(table.record({.zone = {"another"}, .number = 1001}));
  EXPECT_EQ(table.number_of({"7"}), 0U);
  EXPECT_EQ(table.zones_out_of_use().size(), zone_table::max_zones);
}

} // namespace

} // namespace catkinlanding::evacuations
