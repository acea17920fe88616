#include <libraries/base/codec.h>
#include <libraries/proxy/evacuation_codec.h>
#include <libraries/proxy/replicated_state.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

record_departure order(std::uint64_t number, std::string zone = "x") {
  return {encode_order({.zone = {std::move(zone)}, .number = number})};
}

record_departure departure(std::string id) {
  return {{.source = {{std::move(id)}, 1}, .state = endpoint_state::leaving}};
}

TEST(stored_evacuations, are_told_from_departures) {
  evacuations::order const encoded{.zone = {"x"}, .number = 7};
  EXPECT_EQ(decode_order(encode_order(encoded)), encoded);
  EXPECT_EQ(decode_order(departure("x").departure), std::nullopt);
}

// Guards against a zone that goes back into use as more endpoints leave than are remembered.
TEST(stored_evacuations, are_kept_when_departures_are_dropped) {
  replicated_state state;
  state.apply(order(1));
  for (std::size_t i = 0; i <= departure_log::max_departures; ++i) {
    state.apply(departure(std::to_string(i)));
  }
  EXPECT_TRUE(state.zones().is_out_of_use({"x"}));
  EXPECT_EQ(state.departures().size(), departure_log::max_departures);
}

// Guards against orders that take the place of endpoints' departures.
TEST(stored_evacuations, take_no_room_from_departures) {
  replicated_state state;
  state.apply(order(1));
  EXPECT_EQ(state.departures().size(), 0U);
}

TEST(stored_evacuations, survive_snapshots) {
  replicated_state state;
  state.apply(departure("e"));
  state.apply(order(1));
  state.apply(order(3, "y"));
  state.apply(order(4, "y"));
  auto const restored = replicated_state::from_snapshot(state.snapshot());
  ASSERT_TRUE(restored.has_value());
  EXPECT_EQ(restored->zones().all(), state.zones().all());
  EXPECT_EQ(restored->departures().all(), state.departures().all());
}

// Guards against a zone that is put back into use when an instance of the build before, which
// stores orders as departures, makes a snapshot.
TEST(stored_evacuations, are_found_in_snapshots_of_the_build_before) {
  replicated_state empty;
  departure_log written;
  written.record(departure("e").departure);
  written.record(order(1).departure);
  auto const restored =
      replicated_state::from_snapshot(base::encode(empty) + base::encode(written));
  ASSERT_TRUE(restored.has_value());
  EXPECT_TRUE(restored->zones().is_out_of_use({"x"}));
  EXPECT_EQ(restored->departures().size(), 1U);
}

// Guards against a snapshot from which the build before loses the orders, or drops them first.
TEST(stored_evacuations, are_departures_to_the_build_before) {
  replicated_state state;
  state.apply(order(1));
  for (std::size_t i = 0; i < departure_log::max_departures; ++i) {
    state.apply(departure(std::to_string(i)));
  }
  auto const snapshot = state.snapshot();
  std::size_t left = 0;
  ASSERT_TRUE(base::decode_prefix<replicated_state>(snapshot, &left).has_value());
  auto read =
      base::decode<departure_log>(std::string_view(snapshot).substr(snapshot.size() - left));
  ASSERT_TRUE(read.has_value());
  read->record(departure("another").departure);
  EXPECT_TRUE(read->covers(order(1).departure));
  EXPECT_TRUE(read->record(order(2).departure));
}

} // namespace

} // namespace catkinlanding::proxy
