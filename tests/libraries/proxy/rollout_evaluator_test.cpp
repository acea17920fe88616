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
                    std::string route = "r") {
  return {.service = {"llm"},
          .version = {std::move(version)},
          .rollout = 1,
          .route = std::move(route),
          .statistics = {.answers = answers, .bad = bad}};
}

void add_times(time_histogram& histogram, std::size_t count, base::duration time) {
  for (std::size_t i = 0; i < count; ++i) {
    histogram.add(time);
  }
}

/// Good answers with this time to their first byte.
version_tally timed_tally(std::string version, std::uint64_t answers, base::duration first_byte) {
  auto made = tally(std::move(version), answers, 0);
  add_times(made.statistics.first_byte, answers, first_byte);
  return made;
}

/// Good streams with this time between their events, of which a part runs at the slow pace.
version_tally paced_tally(std::string version, std::uint64_t streams, base::duration interval,
                          std::uint64_t slow_streams = 0, base::duration slow_interval = {}) {
  auto made = timed_tally(std::move(version), streams, 100ms);
  add_times(made.statistics.event_interval, streams - slow_streams, interval);
  add_times(made.statistics.event_interval, slow_streams, slow_interval);
  return made;
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

TEST_F(rollout_evaluators, promote_a_healthy_version_and_accept_it_before_its_duration_ends) {
  auto const trial = make_rollout(rollout_state::on_trial);
  m_evaluator.note(trial, start + 5100ms);
  m_evaluator.report({"a"}, {tally("v1", 300, 6), tally("v2", 30, 1)}, start + 7s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 8s), std::nullopt);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 9s), rollout_state::promoted);
  auto const promoted = make_rollout(rollout_state::promoted);
  m_evaluator.note(promoted, start + 9s);
  EXPECT_EQ(m_evaluator.next_state(promoted, start + 9900ms), std::nullopt);
  m_evaluator.report({"a"}, {tally("v1", 300, 6), tally("v2", 60, 2)}, start + 9300ms);
  EXPECT_EQ(m_evaluator.next_state(promoted, start + 9500ms), std::nullopt);
  EXPECT_EQ(m_evaluator.next_state(promoted, start + 9570ms), rollout_state::succeeded);
}

// The trial starts after its planned end, because the control instances had no leader for a while.
TEST_F(rollout_evaluators, run_a_late_trial_for_its_minimum_duration) {
  auto const trial = make_rollout(rollout_state::on_trial);
  m_evaluator.note(trial, start + 9s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 9s), std::nullopt);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 12s), std::nullopt);
  m_evaluator.report({"a"}, {tally("v1", 300, 6), tally("v2", 30, 1)}, start + 11s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 11s), std::nullopt);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 11500ms), rollout_state::promoted);
}

TEST_F(rollout_evaluators, sum_bad_answers_over_all_instances) {
  auto const trial = make_rollout(rollout_state::on_trial);
  m_evaluator.report({"a"}, {tally("v1", 100, 2), tally("v2", 4, 2)}, start + 6s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 6s), std::nullopt);
  m_evaluator.report({"b"}, {tally("v1", 100, 2), tally("v2", 6, 4)}, start + 6s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 6s), rollout_state::rolled_back);
}

// Guards against a bad version that is kept because instances lose their counts when they restart.
TEST_F(rollout_evaluators, keep_the_evidence_of_an_instance_that_restarts) {
  auto const trial = make_rollout(rollout_state::on_trial);
  m_evaluator.report({"a"}, {tally("v1", 200, 4), tally("v2", 5, 3)}, start + 6s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 6s), std::nullopt);
  m_evaluator.report({"a"}, {tally("v1", 10, 0), tally("v2", 4, 2)}, start + 7s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 7s), rollout_state::rolled_back);
}

// Guards against a bad version that is kept because it turned bad after the verdict, or only under
// the full load.
TEST_F(rollout_evaluators, roll_back_a_version_that_turns_bad_after_its_promotion) {
  auto const trial = make_rollout(rollout_state::on_trial);
  m_evaluator.note(trial, start + 5100ms);
  m_evaluator.report({"a"}, {tally("v1", 300, 6), tally("v2", 30, 0)}, start + 8s);
  auto const promoted = make_rollout(rollout_state::promoted);
  m_evaluator.note(promoted, start + 9s);
  m_evaluator.report({"a"}, {tally("v1", 310, 6), tally("v2", 60, 15)}, start + 9300ms);
  EXPECT_EQ(m_evaluator.next_state(promoted, start + 9400ms), rollout_state::rolled_back);
}

// Guards against a bad version whose good answers of the time before it turned bad hide the bad
// ones.
TEST_F(rollout_evaluators, roll_back_a_version_that_turns_bad_late_in_its_trial) {
  auto trial = make_rollout(rollout_state::on_trial);
  trial.duration = 60s;
  m_evaluator.note(trial, start + 5100ms);
  m_evaluator.report({"a"}, {tally("v1", 500, 5), tally("v2", 200, 2)}, start + 6s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 10500ms), std::nullopt);
  m_evaluator.report({"a"}, {tally("v1", 700, 7), tally("v2", 220, 12)}, start + 11s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 11s), rollout_state::rolled_back);
}

// Guards against a version that fails on one route and is kept because the others are fine.
TEST_F(rollout_evaluators, roll_back_a_version_that_is_bad_on_one_route_only) {
  auto const trial = make_rollout(rollout_state::on_trial);
  m_evaluator.note(trial, start + 5100ms);
  m_evaluator.report({"a"},
                     {tally("v1", 800, 8, "sound"), tally("v1", 200, 2, "bad"),
                      tally("v2", 90, 1, "sound"), tally("v2", 16, 8, "bad")},
                     start + 7s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 7s), rollout_state::rolled_back);
}

// Guards against a version that fails on a seldom used route and is accepted before there are
// enough bad answers to roll it back.
TEST_F(rollout_evaluators, neither_promote_nor_accept_a_version_that_seems_bad_on_one_route) {
  auto const trial = make_rollout(rollout_state::on_trial);
  m_evaluator.note(trial, start + 5100ms);
  auto const report = [&](std::uint64_t answers, std::uint64_t bad, base::duration at) {
    m_evaluator.report({"a"},
                       {tally("v1", 270, 0, "sound"), tally("v1", 84, 0, "seldom"),
                        tally("v2", 33, 0, "sound"), tally("v2", answers, bad, "seldom")},
                       start + at);
  };
  report(8, 3, 8s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 9200ms), std::nullopt);
  auto const promoted = make_rollout(rollout_state::promoted);
  m_evaluator.note(promoted, start + 9200ms);
  m_evaluator.report({"b"}, {tally("v2", 40, 0, "sound")}, start + 9300ms);
  report(12, 4, 9400ms);
  EXPECT_EQ(m_evaluator.next_state(promoted, start + 10500ms), std::nullopt);
  report(14, 5, 10500ms);
  EXPECT_EQ(m_evaluator.next_state(promoted, start + 10500ms), rollout_state::rolled_back);
}

TEST_F(rollout_evaluators, roll_back_a_slow_version) {
  auto const trial = make_rollout(rollout_state::on_trial);
  m_evaluator.report({"a"}, {timed_tally("v1", 100, 200ms), timed_tally("v2", 20, 800ms)},
                     start + 6s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 6s), rollout_state::rolled_back);
}

// Guards against a version whose streams run several times slower and that is kept because its idle
// endpoints start their answers as fast as the busy ones of the old version.
TEST_F(rollout_evaluators, roll_back_a_version_whose_streams_run_slowly) {
  auto const trial = make_rollout(rollout_state::on_trial);
  m_evaluator.report({"a"}, {paced_tally("v1", 100, 50ms), paced_tally("v2", 12, 180ms)},
                     start + 6s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 6s), rollout_state::rolled_back);
}

// Guards against a slow version that is kept because the other half of its answers lowers the mean.
TEST_F(rollout_evaluators, roll_back_a_version_of_which_half_of_the_streams_run_slowly) {
  auto const trial = make_rollout(rollout_state::on_trial);
  m_evaluator.report(
      {"a"}, {paced_tally("v1", 100, 50ms, 10, 90ms), paced_tally("v2", 20, 50ms, 10, 400ms)},
      start + 6s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 6s), rollout_state::rolled_back);
}

TEST_F(rollout_evaluators, keep_a_version_that_is_a_little_slower) {
  auto const trial = make_rollout(rollout_state::on_trial);
  m_evaluator.report({"a"}, {paced_tally("v1", 100, 50ms, 10, 90ms), paced_tally("v2", 40, 65ms)},
                     start + 6s);
  EXPECT_EQ(m_evaluator.next_state(trial, start + 6s), std::nullopt);
}

TEST_F(rollout_evaluators, ignore_reports_about_an_earlier_rollout) {
  auto old = tally("v2", 20, 20);
  old.rollout = 0;
  m_evaluator.report({"a"}, {tally("v1", 100, 0), old}, start + 6s);
  EXPECT_EQ(m_evaluator.next_state(make_rollout(rollout_state::on_trial), start + 6s),
            std::nullopt);
}

TEST_F(rollout_evaluators, take_an_order_for_a_duplicate_until_it_is_sent_no_more) {
  auto done = make_rollout(rollout_state::rolled_back);
  done.duration = 4s;
  m_evaluator.note_ordered_here(done.service);
  m_evaluator.note(done, start + 2500ms);
  EXPECT_EQ(m_evaluator.classify_start({"v2"}, &done, start + 4999ms), rollout_order::duplicate);
  EXPECT_EQ(m_evaluator.classify_start({"v2"}, &done, start + 5s), rollout_order::new_rollout);
  EXPECT_EQ(m_evaluator.classify_start({"v3"}, &done, start + 2500ms), rollout_order::new_rollout);
}

TEST_F(rollout_evaluators, bound_the_age_of_a_rollout_that_was_ordered_elsewhere) {
  auto done = make_rollout(rollout_state::rolled_back);
  done.duration = 4s;
  // The order is 2040 ms older than the end of the rollout, at least.
  m_evaluator.note(done, start);
  EXPECT_EQ(m_evaluator.classify_start({"v2"}, &done, start + 2959ms), rollout_order::undecided);
  EXPECT_EQ(m_evaluator.classify_start({"v2"}, &done, start + 2960ms), rollout_order::new_rollout);
  done.state = rollout_state::succeeded;
  m_evaluator.note(done, start + 1s);
  EXPECT_EQ(m_evaluator.classify_start({"v2"}, &done, start + 2171ms), rollout_order::undecided);
  EXPECT_EQ(m_evaluator.classify_start({"v2"}, &done, start + 2172ms), rollout_order::new_rollout);
}

TEST_F(rollout_evaluators, know_the_orders_for_a_running_rollout) {
  auto const running = make_rollout(rollout_state::on_trial);
  m_evaluator.note(running, start + 6s);
  EXPECT_EQ(m_evaluator.classify_start({"v2"}, &running, start + 9s), rollout_order::duplicate);
  EXPECT_EQ(m_evaluator.classify_start({"v3"}, &running, start + 9s), rollout_order::conflict);
}

} // namespace

} // namespace catkinlanding::proxy
