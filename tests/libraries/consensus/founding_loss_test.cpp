#include <tests/support/founding_run.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <bit>

namespace catkinlanding::testing {

namespace {

using namespace std::chrono_literals;

/// The stated time to an acknowledgement from the start of the last founder that is needed.
constexpr base::duration max_time_to_acknowledgement = 3s;
constexpr base::duration recovery_time = 12s;

/// A set of founders, one bit each.
using founder_set = unsigned;

bool has(founder_set set, std::size_t founder) {
  return (set >> founder & 1U) != 0;
}

std::vector<founder_set> sets_of(std::size_t founder_count, std::size_t size) {
  std::vector<founder_set> sets;
  for (founder_set set = 0; set < 1U << founder_count; ++set) {
    if (static_cast<std::size_t>(std::popcount(set)) == size) {
      sets.push_back(set);
    }
  }
  return sets;
}

struct scenario {
  std::size_t founder_count = 0;
  /// The founders that start together, a majority. The others start after `start_difference`.
  founder_set early = 0;
  /// The founders that are killed this long after the first candidate asks for votes.
  founder_set lost = 0;
  base::duration lost_after{};
  base::duration start_difference{};
  /// Whether the survivors among the early founders are killed and started too.
  bool is_restarted = false;
  /// Whether the lost founders return with empty disks.
  bool is_disk_lost = false;

  friend std::ostream& operator<<(std::ostream& out, scenario const& s) {
    return out << s.founder_count << " founders, early " << s.early << ", lost " << s.lost
               << " after " << s.lost_after / 1ms << " ms, difference " << s.start_difference / 1ms
               << " ms, restarted " << s.is_restarted << ", disks lost " << s.is_disk_lost;
  }
};

template<class Action>
void for_each_of(scenario const& scenario, founder_set set, Action action) {
  for (std::size_t i = 0; i < scenario.founder_count; ++i) {
    if (has(set, i)) {
      action(i);
    }
  }
}

/// Lets the scenario's founders start and die. At the end all survivors run.
void found_with_loss(founding_run& run, scenario const& scenario) {
  founder_set const all = (1U << scenario.founder_count) - 1;
  for_each_of(scenario, scenario.early, [&](std::size_t i) { run.start(i); });
  ASSERT_TRUE(run.run_until_vote(5s));
  run.run(scenario.lost_after);
  for_each_of(scenario, scenario.lost, [&](std::size_t i) { run.kill(i); });
  auto const restarted = scenario.is_restarted ? scenario.early & ~scenario.lost : 0U;
  for_each_of(scenario, restarted, [&](std::size_t i) { run.kill(i); });
  run.run(scenario.start_difference);
  auto const started = (all & ~scenario.early & ~scenario.lost) | restarted;
  for_each_of(scenario, started, [&](std::size_t i) { run.start(i); });
}

void return_lost(founding_run& run, scenario const& scenario) {
  for_each_of(scenario, scenario.lost, [&](std::size_t i) {
    if (scenario.is_disk_lost) {
      run.lose_disk(i);
    }
    run.start(i);
  });
}

/// How many of the runs failed, and how.
struct outcome {
  std::size_t runs = 0;
  std::size_t unavailable = 0;
  std::size_t diverged = 0;
  std::string first_failure;

  void note(scenario const& failed) {
    if (first_failure.empty()) {
      first_failure = ::testing::PrintToString(failed);
    }
  }
};

void check(scenario const& scenario, outcome& outcome) {
  ++outcome.runs;
  founding_run run(scenario.founder_count);
  found_with_loss(run, scenario);
  if (!run.run_until_acknowledged(max_time_to_acknowledgement)) {
    ++outcome.unavailable;
    outcome.note(scenario);
  }
  return_lost(run, scenario);
  if (!run.run_until_converged(recovery_time) || !run.has_all_acknowledged()) {
    ++outcome.diverged;
    outcome.note(scenario);
  }
}

/// Runs each combination of early and lost founders at these moments. Checks only one in `divisor`.
outcome check_all(std::size_t founder_count, std::size_t lost_count,
                  std::vector<base::duration> const& moments,
                  std::vector<base::duration> const& differences, std::size_t divisor) {
  outcome outcome;
  std::size_t drawn = 0;
  for (auto const early : sets_of(founder_count, founder_count / 2 + 1)) {
    for (auto const lost : sets_of(founder_count, lost_count)) {
      for (auto const moment : moments) {
        for (auto const difference : differences) {
          for (unsigned kind = 0; kind < 4; ++kind) {
            if (++drawn % divisor == 0) {
              check({.founder_count = founder_count,
                     .early = early,
                     .lost = lost,
                     .lost_after = moment,
                     .start_difference = difference,
                     .is_restarted = kind % 2 == 1,
                     .is_disk_lost = kind / 2 == 1},
                    outcome);
            }
          }
        }
      }
    }
  }
  return outcome;
}

void expect_no_failure(outcome const& outcome) {
  EXPECT_EQ(outcome.unavailable, 0U)
      << "of " << outcome.runs << ", first " << outcome.first_failure;
  EXPECT_EQ(outcome.diverged, 0U) << "of " << outcome.runs << ", first " << outcome.first_failure;
}

// These guard against a group that waits for a founder which voted in its founding and died before
// it stored the group, while a majority of the founders is there with their first disks.

TEST(founding_loss, of_one_of_three_leaves_a_group) {
  expect_no_failure(
      check_all(3, 1, {0ms, 1ms, 2ms, 3ms, 4ms, 5ms, 6ms, 8ms, 20ms}, {10ms, 240ms, 4s}, 1));
}

TEST(founding_loss, of_two_of_five_leaves_a_group) {
  expect_no_failure(check_all(5, 2, {1ms, 2ms, 3ms, 5ms, 20ms}, {240ms, 4s}, 3));
}

TEST(founding_loss, of_two_of_eight_leaves_a_group) {
  expect_no_failure(check_all(8, 2, {1ms, 2ms, 3ms, 5ms}, {240ms, 4s}, 61));
}

// A founder that the previous build made a learner of its place got a second place by its
// promotion, and counted twice for a commit.
TEST(founding_loss, fills_a_place_with_a_learner_once) {
  consensus::voter const filled{.instance = {"b"}, .disk_id = 3};
  consensus::configuration group{
      .voters = {{.instance = {"a"}, .disk_id = 1}, {.instance = {"b"}, .disk_id = 0}},
      .learners = {filled}};
  group.fill_place(filled);
  EXPECT_TRUE(group.learners.empty());
  EXPECT_EQ(std::ranges::count(group.voters, filled), 1);
}

} // namespace

} // namespace catkinlanding::testing
