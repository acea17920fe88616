#include <libraries/proxy/endpoint_registry.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{};

endpoint_word word(std::string id, std::uint64_t incarnation, std::uint64_t sequence,
                   std::uint16_t port = 80) {
  return {.id = {std::move(id)},
          .service = {"lookup"},
          .address = {.ip = "10.0.0.1", .port = port},
          .number = {.incarnation = incarnation, .sequence = sequence}};
}

endpoint_word leaving(endpoint_word said) {
  said.is_leaving = true;
  return said;
}

endpoint_state state_of(endpoint_registry const& registry, std::string const& id) {
  return registry.find({id})->state;
}

TEST(endpoint_registries, tell_changes_from_what_is_only_fresh) {
  endpoint_registry registry({});
  EXPECT_EQ(registry.hear(word("a", 1, 1), start), word_outcome::changed);
  EXPECT_EQ(registry.hear(word("a", 1, 2), start + 1s), word_outcome::refreshed);
  EXPECT_EQ(registry.hear(leaving(word("a", 1, 3)), start + 2s), word_outcome::changed);
  EXPECT_EQ(state_of(registry, "a"), endpoint_state::leaving);
}

TEST(endpoint_registries, drop_words_that_were_overtaken) {
  endpoint_registry registry({});
  registry.hear(leaving(word("a", 1, 5)), start);
  EXPECT_EQ(registry.hear(word("a", 1, 4), start), word_outcome::stale);
  EXPECT_EQ(registry.hear(word("a", 1, 5), start), word_outcome::stale);
  // A leaving endpoint does not come back by a later word of the same start.
  registry.hear(word("a", 1, 6), start);
  EXPECT_EQ(state_of(registry, "a"), endpoint_state::leaving);
}

TEST(endpoint_registries, let_a_new_start_come_back_under_the_old_id) {
  endpoint_registry registry({});
  registry.hear(word("a", 1, 9), start);
  registry.withdraw({"a"}, start);
  EXPECT_EQ(registry.hear(word("a", 1, 10), start), word_outcome::stale);
  EXPECT_EQ(state_of(registry, "a"), endpoint_state::gone);
  EXPECT_EQ(registry.hear(word("a", 2, 1), start), word_outcome::changed);
  EXPECT_EQ(state_of(registry, "a"), endpoint_state::ready);
}

TEST(endpoint_registries, give_an_address_to_the_latest_start) {
  endpoint_registry registry({});
  registry.hear(word("old", 1, 1), start);
  registry.hear(word("new", 2, 1), start);
  EXPECT_EQ(state_of(registry, "old"), endpoint_state::gone);
  // The late word of an endpoint whose address another has by now.
  EXPECT_EQ(registry.hear(word("older", 1, 7), start), word_outcome::stale);
  EXPECT_EQ(registry.hear(word("old", 1, 2), start), word_outcome::stale);
  EXPECT_EQ(state_of(registry, "new"), endpoint_state::ready);
}

// These endpoints do not say when they started.
TEST(endpoint_registries, keep_an_address_with_the_endpoint_that_is_alive) {
  endpoint_registry registry({.rival_patience = 2s});
  registry.hear(word("new", 0, 1), start);
  EXPECT_EQ(registry.hear(word("old", 0, 7), start + 1s), word_outcome::stale);
  EXPECT_EQ(state_of(registry, "new"), endpoint_state::ready);
  // Nothing is heard of the first any more.
  EXPECT_EQ(registry.hear(word("next", 0, 1), start + 3s), word_outcome::changed);
  EXPECT_EQ(state_of(registry, "new"), endpoint_state::gone);
}

TEST(endpoint_registries, mark_silent_ones_and_hear_them_again) {
  endpoint_registry registry({.silence = 5s});
  registry.hear(word("a", 1, 1), start);
  EXPECT_FALSE(registry.tick(start + 4s));
  EXPECT_TRUE(registry.tick(start + 5s));
  EXPECT_EQ(state_of(registry, "a"), endpoint_state::silent);
  EXPECT_EQ(registry.hear(word("a", 1, 2), start + 6s), word_outcome::changed);
  EXPECT_EQ(state_of(registry, "a"), endpoint_state::ready);
}

TEST(endpoint_registries, forgive_what_they_could_not_hear) {
  endpoint_registry registry({.silence = 5s});
  registry.hear(word("a", 1, 1), start);
  registry.forgive_silence(start + 20s);
  EXPECT_FALSE(registry.tick(start + 24s));
}

TEST(endpoint_registries, number_their_changes) {
  endpoint_registry registry({});
  registry.hear(word("a", 1, 1, 81), start);
  registry.hear(word("b", 1, 1, 82), start);
  auto const known = registry.revision();
  registry.hear(word("a", 1, 2, 81), start);
  EXPECT_TRUE(registry.changes_since(known).empty());
  registry.withdraw({"b"}, start);
  auto const changes = registry.changes_since(known);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].word.id.value, "b");
  EXPECT_EQ(changes[0].state, endpoint_state::gone);
}

TEST(endpoint_registries, refuse_more_than_they_can_hold) {
  endpoint_registry registry({.most_endpoints = 1});
  registry.hear(word("a", 1, 1, 81), start);
  EXPECT_EQ(registry.hear(word("b", 1, 1, 82), start), word_outcome::refused);
}

} // namespace

} // namespace catkinlanding::proxy
