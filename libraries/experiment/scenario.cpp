#include <libraries/experiment/scenario.h>

namespace catkinlanding::experiment {

namespace {

/// Requests per second at which the engines are just below saturation under the product's policy.
constexpr double near_saturation_rate = 40.0;
constexpr double quiet_rate = 8.0;

} // namespace

std::vector<scenario> all_scenarios() {
  using std::chrono::seconds;
  return {
      {.name = "quiet", .requests_per_second = quiet_rate},
      {.name = "near-saturation", .requests_per_second = near_saturation_rate},
      {.name = "rush", .requests_per_second = near_saturation_rate, .window_load_factor = 3.0},
      {.name = "greedy", .requests_per_second = near_saturation_rate * 0.8, .greedy_factor = 10.0},
      {.name = "half-lost",
       .requests_per_second = near_saturation_rate * 0.8,
       .crashed_engines = 6},
      {.name = "turns-bad",
       .length = seconds(900),
       .requests_per_second = near_saturation_rate * 0.6,
       .window_load_factor = 1.5,
       .window_start = seconds(120),
       .window_end = seconds(420),
       .degraded_from = seconds(150)},
      {.name = "stale-reports",
       .requests_per_second = near_saturation_rate * 0.9,
       .report_lag = seconds(2)},
  };
}

} // namespace catkinlanding::experiment
