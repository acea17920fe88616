#pragma once

#include <libraries/base/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace catkinlanding::experiment {

/// The load over time and the failures of a simulation run. Load changes and engine crashes happen
/// within the disturbance window from `window_start` to `window_end`, both counted from the start
/// of the measurement.
struct scenario {
  std::string name;
  /// Time before the measurement, at half of the load. The routing policies keep what they learn in
  /// it; the results are reset at its end.
  base::duration warm_up = std::chrono::minutes(10);
  base::duration length = std::chrono::minutes(6);
  /// Arrival rate of all customers together, outside of the disturbance window.
  double requests_per_second = 20.0;
  /// Factor on the arrival rate within the disturbance window.
  double window_load_factor = 1.0;
  base::duration window_start = std::chrono::seconds(60);
  base::duration window_end = std::chrono::seconds(240);
  /// Further factor on the arrival rate of the first customer within the disturbance window.
  double greedy_factor = 1.0;
  /// Number of engines that crash at `window_start` and restart at `window_end`.
  std::uint32_t crashed_engines = 0;
  /// When the cheapest version degrades, counted from the start of the measurement; zero means
  /// never.
  base::duration degraded_from{};
  double degraded_quality = 0.25;
  double degraded_error_share = 0.15;
  double degraded_empty_share = 0.10;
  double degraded_slowdown = 1.5;
  /// Delay between the sending of a load report and its arrival at the entry instances.
  base::duration report_lag = std::chrono::milliseconds(300);
  base::duration report_interval = std::chrono::seconds(1);
};

[[nodiscard]] std::vector<scenario> all_scenarios();

} // namespace catkinlanding::experiment
