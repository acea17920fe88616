#include <libraries/proxy/route_table.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

route make_route(std::string name, std::string host, std::string prefix) {
  route made;
  made.name = std::move(name);
  made.host = std::move(host);
  made.path_prefix = std::move(prefix);
  made.shares = {{.service = {"lookup"}, .weight = 1}};
  made.timeout = std::chrono::seconds(1);
  return made;
}

document make_document() {
  document made;
  made.revision = 7;
  made.services = {{.id = {"lookup"}}};
  made.customers = {{.id = {"ann"}, .keys = {"a1", "a2"}}, {.id = {"ben"}, .keys = {"b1"}}};
  made.routes = {make_route("root", "one.example", "/"), make_route("a", "one.example", "/a/"),
                 make_route("ab", "one.example", "/a/b/"),
                 make_route("other", "two.example", "/c/")};
  return made;
}

std::string found(route_table const& table, std::string_view host, std::string_view path) {
  auto const* route = table.find(host, path);
  return route == nullptr ? "" : route->name;
}

TEST(route_tables, find_the_longest_prefix_of_the_host) {
  route_table const table(make_document());
  EXPECT_EQ(found(table, "one.example", "/a/b/c"), "ab");
  EXPECT_EQ(found(table, "one.example", "/a/b"), "a");
  EXPECT_EQ(found(table, "one.example", "/ab"), "root");
  EXPECT_EQ(found(table, "two.example", "/c/"), "other");
}

TEST(route_tables, find_no_route_outside_the_prefixes) {
  route_table const table(make_document());
  EXPECT_EQ(found(table, "two.example", "/c"), "");
  EXPECT_EQ(found(table, "two.example", ""), "");
  EXPECT_EQ(found(table, "three.example", "/"), "");
}

TEST(route_tables, find_customers_by_key) {
  route_table const table(make_document());
  ASSERT_NE(table.find_customer("a2"), nullptr);
  EXPECT_EQ(table.find_customer("a2")->id.value, "ann");
  EXPECT_EQ(table.find_customer("c1"), nullptr);
}

TEST(documents, that_are_valid_have_no_faults) {
  EXPECT_TRUE(find_faults(make_document()).empty());
}

TEST(documents, report_every_fault) {
  auto broken = make_document();
  broken.revision = 0;
  broken.routes[0].shares = {{.service = {"nowhere"}, .weight = 1}};
  broken.routes[1].shares = {{.service = {"lookup"}, .weight = 0}};
  broken.routes[2].timeout = {};
  broken.routes[3].host = "one.example";
  broken.routes[3].path_prefix = "/a/";
  broken.customers[1].keys = {"a1"};
  using kind = document_fault_kind;
  std::vector<document_fault> const expected{
      {kind::no_revision, ""},  {kind::unknown_service, "root"},   {kind::no_weight, "a"},
      {kind::no_timeout, "ab"}, {kind::duplicate_prefix, "other"}, {kind::shared_key, "ben"}};
  EXPECT_EQ(find_faults(broken), expected);
}

TEST(documents, may_list_a_key_of_a_customer_twice) {
  auto twice = make_document();
  twice.customers[0].keys = {"a1", "a1"};
  EXPECT_TRUE(find_faults(twice).empty());
}

} // namespace

} // namespace catkinlanding::proxy
