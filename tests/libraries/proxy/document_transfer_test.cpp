#include <tests/support/control_group.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;
using testing::control_group;

/// At 10 Mbit/s, the slowest link of an instance, this takes 0.1 s.
constexpr std::size_t max_bytes_ahead = 128 * 1024;

/// A document of more than 1 MB.
replace_document large_document(std::uint64_t revision) {
  replace_document made;
  made.document.revision = revision;
  made.document.services = {{.id = {"s"}}};
  constexpr std::size_t routes = 6000;
  for (std::size_t i = 0; i < routes; ++i) {
    route one;
    one.name = "route-" + std::to_string(i);
    one.host = "customer-" + std::to_string(i % 50) + ".example";
    one.path_prefix = "/service/" + std::to_string(i) + "/";
    one.shares = {{.service = {"s"}, .weight = 1}};
    made.document.routes.push_back(std::move(one));
  }
  return made;
}

announce_endpoint announcement(std::uint64_t sequence, bool is_leaving) {
  return {{.id = {"e"},
           .service = {"s"},
           .is_leaving = is_leaving,
           .number = {.incarnation = 1, .sequence = sequence}}};
}

/// A group of three voters and two entry instances that know one endpoint.
control_group founded_group() {
  control_group made({"a", "b", "c"});
  made.found({"a", "b", "c"});
  made.start_entry("entry");
  made.start_entry("other");
  made.run(8s);
  made.call("a", 1, announcement(1, false));
  made.run(1s);
  return made;
}

TEST(document_transfers, bring_a_large_document_to_all_entry_instances) {
  auto group = founded_group();
  group.call("a", 2, large_document(7));
  group.run(500ms);
  EXPECT_EQ(group.entry("entry").document_revision(), 7U);
  EXPECT_EQ(group.entry("other").document_revision(), 7U);
}

// Guards against the news of a leaving endpoint that waits for seconds behind copies of a document
// on a slow link (DRAIN).
TEST(document_transfers, leave_room_on_a_slow_link_for_what_follows) {
  auto group = founded_group();
  group.hold("entry");
  static_cast<void>(group.take_bytes_to("entry"));
  group.call("a", 2, large_document(7));
  group.run(2s);
  EXPECT_LE(group.take_bytes_to("entry"), max_bytes_ahead);
  group.release("entry");
  group.run(1s);
  EXPECT_EQ(group.entry("entry").document_revision(), 7U);
}

// Guards against a leader that is busy for so long with a document that it loses its lease: what it
// sends for one event must not grow with the document.
TEST(document_transfers, are_divided_among_many_events) {
  auto group = founded_group();
  group.hold("entry");
  group.hold("other");
  static_cast<void>(group.take_bytes_to("entry"));
  static_cast<void>(group.take_bytes_to("other"));
  group.call("a", 2, large_document(7));
  EXPECT_LE(group.take_bytes_to("entry") + group.take_bytes_to("other"), max_bytes_ahead);
}

TEST(document_transfers, bring_nothing_to_control_instances_that_have_the_log) {
  auto group = founded_group();
  group.call("a", 2, large_document(7));
  group.send("f", "a", subscription{});
  ASSERT_FALSE(group.updates("f").empty());
  EXPECT_FALSE(group.updates("f").back().document.has_value());
}

TEST(document_transfers, go_on_with_the_next_leader) {
  auto group = founded_group();
  group.hold("entry");
  group.call("a", 2, large_document(7));
  group.stop("a");
  group.release("entry");
  group.run(3s);
  EXPECT_EQ(group.entry("entry").document_revision(), 7U);
}

TEST(document_transfers, end_with_the_newest_of_several_documents) {
  auto group = founded_group();
  for (std::uint64_t revision = 7; revision < 12; ++revision) {
    group.call("a", revision, large_document(revision));
    group.run(20ms);
  }
  group.run(1s);
  EXPECT_EQ(group.entry("entry").document_revision(), 11U);
}

} // namespace

} // namespace catkinlanding::proxy
