#pragma once

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <ostream>
#include <vector>

namespace catkinlanding::testing {

/// One random event in a simulated deployment. The model maps each number to a valid choice with
/// the modulo operator.
struct random_action {
  std::uint8_t kind = 0;
  /// Depends on the kind: the instance or endpoint that is affected, or a loss rate, for example.
  std::uint8_t parameter = 0;
  /// How long the model runs before the next action.
  std::uint8_t steps = 0;
};

inline std::ostream& operator<<(std::ostream& out, random_action const& action) {
  return out << "{" << int(action.kind) << ", " << int(action.parameter) << ", "
             << int(action.steps) << "}";
}

/// Creates a model from a random seed, performs random actions on it, and then lets it check that
/// it recovers. RapidCheck shrinks a failing list of actions to a minimal one.
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
