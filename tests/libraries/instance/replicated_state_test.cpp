#include <libraries/base/codec.h>
#include <libraries/instance/replicated_state.h>

#include <gtest/gtest.h>

namespace catkinlanding::instance {

namespace {

TEST(replicated_state, decodes_what_it_encoded) {
  replicated_state state;
  catalogue::change change;
  change.id = {"first"};
  change.upserts.emplace_back(catalogue::model{.id = {"hat"}, .stewardship = {}});
  state.apply(change);
  auto const decoded = replicated_state::decode(state.encode());
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->catalogue().document().revision(), 1U);
  EXPECT_EQ(decoded->sessions().size(), 0U);
}

TEST(replicated_state, rejects_first_format) {
  constexpr std::uint32_t first_format = 1;
  auto const decoded =
      replicated_state::decode(base::encode(first_format) + base::encode(replicated_state{}));
  ASSERT_FALSE(decoded.has_value());
  EXPECT_EQ(decoded.error(), state_error::unknown_format);
}

TEST(replicated_state, rejects_unknown_format) {
  replicated_state const state;
  auto bytes = base::encode(replicated_state::current_format + 1) + base::encode(state);
  auto const decoded = replicated_state::decode(bytes);
  ASSERT_FALSE(decoded.has_value());
  EXPECT_EQ(decoded.error(), state_error::unknown_format);
}

} // namespace

} // namespace catkinlanding::instance
