#pragma once

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <ostream>
#include <vector>

namespace catkinlanding::testing {

/// One thing that befalls a modelled deployment. The model takes each number modulo what it has.
struct random_action {
  std::uint8_t kind = 0;
  std::uint8_t parameter = 0;
  /// How long the model runs before the next action.
  std::uint8_t steps = 0;
};

inline std::ostream& operator<<(std::ostream& out, random_action const& action) {
  return out << "{" << int(action.kind) << ", " << int(action.parameter) << ", "
             << int(action.steps) << "}";
}

/// Makes a model from a random seed, lets random actions befall it, and has it check that it
/// becomes whole once they have ended. RapidCheck looks for the shortest list that fails.
template<class Model>
void run_random_actions() {
  auto const seed = *rc::gen::arbitrary<std::uint64_t>();
  auto const one = rc::gen::build<random_action>(
      rc::gen::set(&random_action::kind, rc::gen::arbitrary<std::uint8_t>()),
      rc::gen::set(&random_action::parameter, rc::gen::arbitrary<std::uint8_t>()),
      rc::gen::set(&random_action::steps, rc::gen::arbitrary<std::uint8_t>()));
  auto const actions = *rc::gen::container<std::vector<random_action>>(one);
  Model model(seed);
  for (auto const& action : actions) {
    model.perform(action);
  }
  model.heal();
}

} // namespace catkinlanding::testing
