#include <libraries/proxy/rollout_evaluator.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{};

rollout make_rollout(rollout_state state) {
  return {.service = {"llm"}, .target = {"v2"}, .duration = 10s, .state = state, .number = 1};
}

version_tally tally(std::string version, std::uint64_t answers, std::uint64_t bad,
                    std::uint64_t milliseconds = 0) {
  return {.service = {"llm"},
          .version = {std::move(version)},
          .rollout = 1,
          .answers = answers,
          .bad = bad,
          .milliseconds = milliseconds};
}

class rollout_evaluators : public ::testing::Test {
protected:
  rollout_evaluators() { m_evaluator.note(make_rollout(rollout_state::prepared), start); }

  rollout_evaluator m_evaluator{{}};
};

TEST_F(rollout_evaluators, start_the_trial_in_the_second_half) {
  auto const prepared = make_rollout(rollout_state::prepared);
  EXPECT_EQ(m_evaluator.next_state(prepared, start + 5s), std::nullopt);
  EXPECT_EQ(m_evaluator.next_state(prepared, start + 5100ms), rollout_state::on_trial);
}

TEST_F(rollout_evaluators, accept_a_healthy_version_before_its_duration_ends) {
  auto const trial = make_rollout(rollout_state::on_trial);
  m_evaluator.note(trial, start + 5100ms);
  m_evaluator.report({"a"}, {tally("v1", 300, 6), tally("v2", 30, 1)});
  EXPECT_EQ(m_evaluator.next_state(trial, start + 7s), std::nullopt);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 8s), rollout_state::succeeded);
}

// The trial starts after its planned end, because the control instances had no leader for a while.
TEST_F(rollout_evaluators, run_a_late_trial_for_its_minimum_duration) {
  auto const trial = make_rollout(rollout_state::on_trial);
  m_evaluator.note(trial, start + 9s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 9s), std::nullopt);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 12s), std::nullopt);
  m_evaluator.report({"a"}, {tally("v1", 300, 6), tally("v2", 30, 1)});
  EXPECT_EQ(m_evaluator.next_state(trial, start + 11s), std::nullopt);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 11500ms), rollout_state::succeeded);
}

TEST_F(rollout_evaluators, sum_bad_answers_over_all_instances) {
  auto const trial = make_rollout(rollout_state::on_trial);
  m_evaluator.report({"a"}, {tally("v1", 100, 2), tally("v2", 4, 2)});
  EXPECT_EQ(m_evaluator.next_state(trial, start + 6s), std::nullopt);
  m_evaluator.report({"b"}, {tally("v1", 100, 2), tally("v2", 6, 4)});
  EXPECT_EQ(m_evaluator.next_state(trial, start + 6s), rollout_state::rolled_back);
}

TEST_F(rollout_evaluators, roll_back_a_slow_version) {
  auto const trial = make_rollout(rollout_state::on_trial);
  m_evaluator.report({"a"}, {tally("v1", 100, 0, 20'000), tally("v2", 20, 0, 16'000)});
  EXPECT_EQ(m_evaluator.next_state(trial, start + 6s), rollout_state::rolled_back);
}

TEST_F(rollout_evaluators, ignore_reports_about_an_earlier_rollout) {
  auto old = tally("v2", 20, 20);
  old.rollout = 0;
  m_evaluator.report({"a"}, {tally("v1", 100, 0), old});
  EXPECT_EQ(m_evaluator.next_state(make_rollout(rollout_state::on_trial), start + 6s),
            std::nullopt);
}

TEST_F(rollout_evaluators, delay_the_reported_success) {
  auto const done = make_rollout(rollout_state::succeeded);
  m_evaluator.note(done, start + 8s);
  EXPECT_TRUE(m_evaluator.reported_state(done, start + 8s) != rollout_state::succeeded);
  EXPECT_EQ(m_evaluator.reported_state(done, start + 9200ms), rollout_state::succeeded);
  EXPECT_TRUE(m_evaluator.ended_within(done, 10s, start + 17s));
  EXPECT_FALSE(m_evaluator.ended_within(done, 10s, start + 18s));
}

} // namespace

} // namespace catkinlanding::proxy
