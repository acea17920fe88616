#include <libraries/cascade/model_choice.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace catkinlanding::cascade {

namespace {

/// How many times as long as the smallest model the largest one takes.
constexpr double largest_work = 10.0;
constexpr std::size_t endpoints = 100;

/// A rule for the models of one route: which runs first, and which answers are replaced.
struct rule {
  bool begins_with_largest = false;
  bool replaces = false;
  bool follows_capacity = false;
};

constexpr rule always_smallest{};
constexpr rule always_largest{.begins_with_largest = true};
constexpr rule any_idle_endpoint{.replaces = true};
constexpr rule by_capacity{.replaces = true, .follows_capacity = true};

struct outcome {
  /// Requests that got an answer good enough, that got any, and the work of all runs.
  double good = 0.0;
  double answered = 0.0;
  double work = 0.0;
};

struct mix {
  double hard_share = 0.5;
  /// Standard deviation of the confidence about the truth.
  double noise = 0.05;
  /// Requests as a multiple of what the endpoints could answer with the smallest model alone.
  double load = 0.3;
  std::uint64_t seed = 1;
};

/// Requests arrive evenly. A run occupies one endpoint for its time; a request that finds none idle
/// is not answered.
outcome play(rule const& played, mix const& drawn) {
  std::mt19937_64 random(drawn.seed);
  std::uniform_real_distribution<double> hardness(0.0, 1.0);
  std::normal_distribution<double> noise(0.0, drawn.noise);
  model_choice const choice({.follows_capacity = played.follows_capacity});
  std::priority_queue<double, std::vector<double>, std::greater<>> ends;
  outcome total;
  auto const occupy = [&](double now, double work) {
    ends.push(now + work);
    total.work += work;
  };
  constexpr double duration = 60.0;
  double const spacing = 1.0 / (drawn.load * static_cast<double>(endpoints));
  for (double now = 0.0; now < duration; now += spacing) {
    bool const is_hard = hardness(random) < drawn.hard_share;
    double const confidence = (is_hard ? 0.3 : 0.7) + noise(random);
    while (!ends.empty() && ends.top() <= now) {
      ends.pop();
    }
    if (ends.size() == endpoints) {
      continue;
    }
    total.answered += 1.0;
    occupy(now, played.begins_with_largest ? largest_work : 1.0);
    bool is_good = played.begins_with_largest || !is_hard;
    capacity const left{.idle = endpoints - ends.size(), .ready = endpoints};
    if (played.replaces && left.idle > 0 && confidence < choice.limit(left)) {
      occupy(now, largest_work);
      is_good = true;
    }
    total.good += is_good ? 1.0 : 0.0;
  }
  return total;
}

mix draw(double load) {
  return {.hard_share = 0.01 * *rc::gen::inRange(5, 96),
          .noise = 0.01 * *rc::gen::inRange(0, 8),
          .load = load,
          .seed = *rc::gen::arbitrary<std::uint64_t>()};
}

} // namespace

// Whatever the part of hard requests and the load, no fixed rule gives more good answers, but for
// what is kept idle for first answers: the limit reaches the confidence of hard requests while 15
// of 100 endpoints are idle.
RC_GTEST_PROP(model_choices, give_as_many_good_answers_as_the_best_fixed_rule, ()) {
  constexpr double kept_idle = 0.15;
  auto const drawn = draw(*rc::gen::element(0.05, 0.3, 0.8, 1.5, 3.0));
  auto const ours = play(by_capacity, drawn);
  auto const best = std::max({play(always_smallest, drawn).good, play(always_largest, drawn).good,
                              play(any_idle_endpoint, drawn).good});
  RC_ASSERT(ours.good >= (1.0 - kept_idle) * best);
}

// Second runs must not take the capacity of first answers.
RC_GTEST_PROP(model_choices, leave_the_capacity_to_first_answers_under_load, ()) {
  auto const drawn = draw(*rc::gen::element(0.8, 1.5, 3.0));
  RC_ASSERT(play(by_capacity, drawn).answered >= play(any_idle_endpoint, drawn).answered);
}

// Confidences that say nothing must not cost more than running both models each time.
RC_GTEST_PROP(model_choices, cost_no_more_than_both_models_each_time, ()) {
  auto drawn = draw(0.05);
  drawn.noise = 5.0;
  auto const ours = play(by_capacity, drawn);
  RC_ASSERT(ours.work <= ours.answered * (1.0 + largest_work));
}

TEST(model_choices, replace_every_doubtful_answer_while_capacity_is_ample) {
  model_choice const choice({.follows_capacity = true});
  EXPECT_DOUBLE_EQ(choice.limit({.idle = 50, .ready = 100}), 0.5);
}

// Guards against a step in the limit: instances whose reports differ a little would decide
// differently.
TEST(model_choices, lower_the_limit_smoothly_with_the_capacity) {
  model_choice const choice({.follows_capacity = true});
  double last = choice.limit({.idle = 100, .ready = 100});
  for (std::size_t idle = 100; idle-- > 0;) {
    auto const limit = choice.limit({.idle = idle, .ready = 100});
    EXPECT_LE(limit, last);
    EXPECT_GE(limit, last - 0.021);
    last = limit;
  }
  EXPECT_DOUBLE_EQ(last, 0.0);
}

TEST(model_choices, replace_every_doubtful_answer_where_capacity_does_not_count) {
  model_choice const choice({.follows_capacity = false});
  EXPECT_DOUBLE_EQ(choice.limit({.idle = 0, .ready = 100}), 0.5);
}

} // namespace catkinlanding::cascade
