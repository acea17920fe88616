#include <libraries/proxy/endpoint_registry.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{};

endpoint_announcement announcement(std::string id, std::uint64_t incarnation,
                                   std::uint64_t sequence, std::uint16_t port = 80) {
  return {.id = {std::move(id)},
          .service = {"lookup"},
          .address = {.ip = "10.0.0.1", .port = port},
          .number = {.incarnation = incarnation, .sequence = sequence}};
}

endpoint_announcement leaving(endpoint_announcement announced) {
  announced.is_leaving = true;
  return announced;
}

endpoint_state state_of(endpoint_registry const& registry, std::string const& id) {
  return registry.find({id})->state;
}

TEST(endpoint_registries, distinguish_changes_from_refreshes) {
  endpoint_registry registry({});
  EXPECT_EQ(registry.announce(announcement("a", 1, 1), start), announcement_outcome::changed);
  EXPECT_EQ(registry.announce(announcement("a", 1, 2), start + 1s),
            announcement_outcome::refreshed);
  EXPECT_EQ(registry.announce(leaving(announcement("a", 1, 3)), start + 2s),
            announcement_outcome::changed);
  EXPECT_EQ(state_of(registry, "a"), endpoint_state::leaving);
}

TEST(endpoint_registries, ignore_outdated_announcements) {
  endpoint_registry registry({});
  registry.announce(leaving(announcement("a", 1, 5)), start);
  EXPECT_EQ(registry.announce(announcement("a", 1, 4), start), announcement_outcome::stale);
  EXPECT_EQ(registry.announce(announcement("a", 1, 5), start), announcement_outcome::stale);
  // A later announcement of the same incarnation doesn't make a leaving endpoint ready again.
  registry.announce(announcement("a", 1, 6), start);
  EXPECT_EQ(state_of(registry, "a"), endpoint_state::leaving);
}

TEST(endpoint_registries, accept_a_restarted_endpoint_under_its_old_id) {
  endpoint_registry registry({});
  registry.announce(announcement("a", 1, 9), start);
  registry.withdraw({"a"}, start);
  EXPECT_EQ(registry.announce(announcement("a", 1, 10), start), announcement_outcome::stale);
  EXPECT_EQ(state_of(registry, "a"), endpoint_state::gone);
  EXPECT_EQ(registry.announce(announcement("a", 2, 1), start), announcement_outcome::changed);
  EXPECT_EQ(state_of(registry, "a"), endpoint_state::ready);
}

TEST(endpoint_registries, assign_an_address_to_the_latest_incarnation) {
  endpoint_registry registry({});
  registry.announce(announcement("old", 1, 1), start);
  registry.announce(announcement("new", 2, 1), start);
  EXPECT_EQ(state_of(registry, "old"), endpoint_state::gone);
  // Delayed announcements of endpoints whose address has been taken over.
  EXPECT_EQ(registry.announce(announcement("older", 1, 7), start), announcement_outcome::stale);
  EXPECT_EQ(registry.announce(announcement("old", 1, 2), start), announcement_outcome::stale);
  EXPECT_EQ(state_of(registry, "new"), endpoint_state::ready);
}

// These endpoints don't announce their start time, so their incarnations are equal.
TEST(endpoint_registries, keep_an_address_with_its_live_holder) {
  endpoint_registry registry({.address_conflict_window = 2s});
  registry.announce(announcement("new", 0, 1), start);
  EXPECT_EQ(registry.announce(announcement("old", 0, 7), start + 1s), announcement_outcome::stale);
  EXPECT_EQ(state_of(registry, "new"), endpoint_state::ready);
  // The previous holder has stopped announcing itself.
  EXPECT_EQ(registry.announce(announcement("next", 0, 1), start + 3s),
            announcement_outcome::changed);
  EXPECT_EQ(state_of(registry, "new"), endpoint_state::gone);
}

TEST(endpoint_registries, mark_silent_endpoints_and_restore_them) {
  endpoint_registry registry({.silence_timeout = 5s});
  registry.announce(announcement("a", 1, 1), start);
  EXPECT_FALSE(registry.tick(start + 4s));
  EXPECT_TRUE(registry.tick(start + 5s));
  EXPECT_EQ(state_of(registry, "a"), endpoint_state::silent);
  EXPECT_EQ(registry.announce(announcement("a", 1, 2), start + 6s), announcement_outcome::changed);
  EXPECT_EQ(state_of(registry, "a"), endpoint_state::ready);
}

TEST(endpoint_registries, restart_silence_timers_on_reset) {
  endpoint_registry registry({.silence_timeout = 5s});
  registry.announce(announcement("a", 1, 1), start);
  registry.reset_silence_timers(start + 20s);
  EXPECT_FALSE(registry.tick(start + 24s));
}

TEST(endpoint_registries, report_changes_since_a_revision) {
  endpoint_registry registry({});
  registry.announce(announcement("a", 1, 1, 81), start);
  registry.announce(announcement("b", 1, 1, 82), start);
  auto const known = registry.revision();
  registry.announce(announcement("a", 1, 2, 81), start);
  EXPECT_TRUE(registry.changes_since(known).empty());
  registry.withdraw({"b"}, start);
  auto const changes = registry.changes_since(known);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].announcement.id.value, "b");
  EXPECT_EQ(changes[0].state, endpoint_state::gone);
}

TEST(endpoint_registries, refuse_endpoints_beyond_their_limit) {
  endpoint_registry registry({.max_endpoints = 1});
  registry.announce(announcement("a", 1, 1, 81), start);
  EXPECT_EQ(registry.announce(announcement("b", 1, 1, 82), start), announcement_outcome::refused);
}

} // namespace

} // namespace catkinlanding::proxy
