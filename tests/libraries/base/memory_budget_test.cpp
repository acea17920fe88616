#include <libraries/base/memory_budget.h>

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace catkinlanding::base {

namespace {

constexpr std::size_t limit = 16UL * 1024 * 1024;
constexpr std::size_t small_answer = 4UL * 1024;
/// More than the connections of an entry instance with 4,100 descriptors.
constexpr std::size_t max_holders = 2000;

/// Grows each share by these bytes in turn, until none may grow any more.
std::vector<memory_share> take_all(memory_budget& budget, std::size_t count, std::size_t step) {
  std::vector<memory_share> shares;
  shares.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    shares.emplace_back(budget);
  }
  bool has_grown = true;
  while (has_grown) {
    has_grown = false;
    for (auto& share : shares) {
      has_grown = share.try_resize(share.bytes() + step) || has_grown;
    }
  }
  return shares;
}

// Guards against a process that runs out of memory over many answers without end, though each of
// them is bounded.
TEST(memory_budgets, are_not_exceeded_by_any_number_of_holders) {
  for (std::size_t count = 1; count <= max_holders; count *= 2) {
    memory_budget budget({.max_bytes = limit});
    auto const shares = take_all(budget, count, 1024);
    EXPECT_LE(budget.used_bytes(), limit + count * memory_budget::options{}.min_share_bytes);
    EXPECT_GT(budget.refusals(), 0U);
  }
}

// The same where each holder takes as much as it can before the next one comes.
TEST(memory_budgets, are_not_exceeded_by_holders_that_come_one_after_the_other) {
  memory_budget budget({.max_bytes = limit});
  std::vector<std::vector<memory_share>> taken;
  for (std::size_t i = 0; i < max_holders; ++i) {
    taken.push_back(take_all(budget, 1, 1024));
  }
  EXPECT_LE(budget.used_bytes(), limit + max_holders * memory_budget::options{}.min_share_bytes);
  memory_share late(budget);
  EXPECT_TRUE(late.try_resize(small_answer));
}

// Guards against callers who get no answer while other answers hold as much memory as they can.
TEST(memory_budgets, leave_room_for_those_who_need_little) {
  memory_budget budget({.max_bytes = limit});
  auto const shares = take_all(budget, max_holders, 1024);
  memory_share one(budget);
  EXPECT_TRUE(one.try_resize(small_answer));
}

TEST(memory_budgets, let_one_holder_have_much_while_there_is_room) {
  memory_budget budget({.max_bytes = limit});
  memory_share one(budget);
  EXPECT_TRUE(one.try_resize(1024UL * 1024));
  EXPECT_FALSE(one.try_resize(limit / 2));
  EXPECT_EQ(one.bytes(), 1024UL * 1024);
}

TEST(memory_budgets, get_back_what_was_held) {
  memory_budget budget({.max_bytes = limit});
  {
    memory_share one(budget);
    ASSERT_TRUE(one.try_resize(small_answer));
    auto other = std::move(one);
    EXPECT_EQ(budget.used_bytes(), small_answer);
    EXPECT_EQ(other.bytes(), small_answer);
    memory_share third(budget);
    ASSERT_TRUE(third.try_resize(small_answer));
    other = std::move(third);
    EXPECT_EQ(budget.used_bytes(), small_answer);
  }
  EXPECT_EQ(budget.used_bytes(), 0U);
}

// Guards against a share that is given back to a budget that is gone, at the end of a process.
TEST(memory_budgets, may_end_before_their_shares) {
  auto budget = std::make_optional<memory_budget>(memory_budget::options{.max_bytes = limit});
  memory_share one(*budget);
  ASSERT_TRUE(one.try_resize(small_answer));
  budget.reset();
  EXPECT_TRUE(one.try_resize(2 * small_answer));
  one.release();
  EXPECT_EQ(one.bytes(), 0U);
}

// A holder that has more than it would be given now may still give some of it back.
TEST(memory_budgets, always_allow_a_share_to_shrink) {
  memory_budget budget({.max_bytes = limit});
  memory_share early(budget);
  ASSERT_TRUE(early.try_resize(limit / 16));
  auto const shares = take_all(budget, max_holders, 1024);
  EXPECT_FALSE(early.try_resize(limit / 16 + 1));
  EXPECT_TRUE(early.try_resize(limit / 32));
}

} // namespace

} // namespace catkinlanding::base
