#include <libraries/base/codec.h>
#include <libraries/catalogue/json.h>
#include <libraries/sessions/registry.h>

#include <gtest/gtest.h>

#include <cstdio>

namespace catkinlanding::sessions {

namespace {

catalogue::document make_document() {
  catalogue::change change;
  change.upserts = catalogue::parse_entries(R"({
    "customers": [{"id": "guild", "owner": "ops", "class": "interactive", "keys": ["guild-key"],
                   "allow": [{"model": "hat"}]}],
    "classes": [{"id": "interactive", "owner": "ops", "class": "interactive"}],
    "models": [{"id": "hat", "owner": "ops", "class": "interactive"}],
    "versions": [{"model": "hat", "id": "1", "owner": "ops", "class": "interactive"}]
  })")
                       .value();
  catalogue::document document;
  document.apply(change);
  return document;
}

command propose(std::size_t number, base::duration at) {
  return {.at = at,
          .proposal = {.key = {.customer = {"guild"},
                               .session = {"session-" + std::to_string(100'000 + number)},
                               .model = {"hat"}},
                       .version = {"1"},
                       .instance = {"entry"},
                       .incarnation = 1,
                       .number = number}};
}

TEST(pin_registry, rejects_new_sessions_above_the_customers_maximum_until_old_ones_expire) {
  auto const document = make_document();
  sessions::registry registry;
  auto const empty = base::encode(registry).size();
  std::size_t number = 0;
  while (number < sessions::registry::max_pins_per_customer) {
    ASSERT_EQ(registry.apply(propose(++number, {}), document).kind, verdict_kind::pinned);
  }
  std::printf("bytes of a pin in a snapshot: %zu\n",
              (base::encode(registry).size() - empty) / registry.size());
  EXPECT_EQ(registry.apply(propose(number + 1, {}), document).kind, verdict_kind::full);
  // Proposals for a session that is already pinned are still accepted.
  EXPECT_EQ(registry.apply(propose(1, std::chrono::minutes(30)), document).kind,
            verdict_kind::pinned);
  EXPECT_EQ(registry.apply(propose(number + 1, sessions::registry::retention), document).kind,
            verdict_kind::pinned);
  EXPECT_EQ(registry.size(), 2U);
}

} // namespace

} // namespace catkinlanding::sessions
