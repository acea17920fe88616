#include <libraries/base/codec.h>
#include <libraries/proxy/replicated_state.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

constexpr auto leaving = endpoint_state::leaving;
constexpr auto gone = endpoint_state::gone;

endpoint_departure departure(std::string id, std::uint64_t incarnation, endpoint_state state) {
  return {.source = {{std::move(id)}, incarnation}, .state = state};
}

TEST(departure_logs, record_each_step_of_a_departure_once) {
  departure_log log;
  EXPECT_TRUE(log.record(departure("a", 1, leaving)));
  EXPECT_FALSE(log.record(departure("a", 1, leaving)));
  EXPECT_TRUE(log.record(departure("a", 1, gone)));
  EXPECT_FALSE(log.record(departure("a", 1, leaving)));
  EXPECT_EQ(log.find({"a"})->state, gone);
  EXPECT_EQ(log.find({"b"}), nullptr);
}

TEST(departure_logs, keep_the_departure_of_the_latest_start) {
  departure_log log;
  log.record(departure("a", 1, gone));
  EXPECT_TRUE(log.record(departure("a", 2, leaving)));
  EXPECT_FALSE(log.record(departure("a", 1, gone)));
  EXPECT_EQ(*log.find({"a"}), departure("a", 2, leaving));
}

TEST(departure_logs, cover_all_starts_if_the_start_is_unknown) {
  departure_log log;
  log.record(departure("a", any_incarnation, gone));
  EXPECT_TRUE(log.covers(departure("a", 7, leaving)));
}

// Guards against state that grows with each endpoint that ever left.
TEST(departure_logs, drop_the_oldest_records_beyond_their_bound) {
  departure_log log;
  for (std::size_t i = 0; i <= departure_log::max_departures; ++i) {
    log.record(departure(std::to_string(i), 1, leaving));
  }
  EXPECT_EQ(log.size(), departure_log::max_departures);
  EXPECT_EQ(log.find({"0"}), nullptr);
  EXPECT_NE(log.find({"1"}), nullptr);
}

// Guards against a departure that is lost when the log is compacted, or when an instance that was
// behind gets a snapshot.
TEST(replicated_states, keep_departures_in_snapshots) {
  replicated_state state;
  state.apply(record_departure{departure("a", 1, leaving)});
  auto const restored = replicated_state::from_snapshot(state.snapshot());
  ASSERT_TRUE(restored.has_value());
  EXPECT_TRUE(restored->departures().covers(departure("a", 1, leaving)));
}

TEST(replicated_states, read_snapshots_that_end_before_the_departures) {
  replicated_state state;
  replace_document replacement;
  replacement.document.revision = 7;
  state.apply(replacement);
  auto const restored = replicated_state::from_snapshot(base::encode(state));
  ASSERT_TRUE(restored.has_value());
  EXPECT_EQ(restored->revision(), 7U);
  EXPECT_EQ(restored->departures().size(), 0U);
}

} // namespace

} // namespace catkinlanding::proxy
