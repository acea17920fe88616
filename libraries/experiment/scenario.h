#pragma once

#include <libraries/base/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace catkinlanding::experiment {

/// One scenario: the load over time, and what fails.
struct scenario {
  std::string name;
  /// Time before the measurement, at half of the load: what was learned in it is kept.
  base::duration warm_up = std::chrono::minutes(10);
  base::duration length = std::chrono::minutes(6);
  /// Arrivals of all customers together, for each second, outside of the rush.
  double requests_per_second = 20.0;
  /// Between `rush_from` and `rush_until` arrivals are this many times as many.
  double window_load_factor = 1.0;
  base::duration window_start = std::chrono::seconds(60);
  base::duration window_end = std::chrono::seconds(240);
  /// The first customer sends this many times its ordinary load during the rush.
  double greedy_factor = 1.0;
  /// Engines that crash at `rush_from` and come back at `rush_until`.
  std::uint32_t crashed_engines = 0;
  /// When the cheapest version turns bad; never where it is zero.
  base::duration degraded_from{};
  double degraded_quality = 0.25;
  double degraded_error_share = 0.15;
  double degraded_empty_share = 0.10;
  double degraded_slowdown = 1.5;
  /// How old a load report is when it arrives.
  base::duration report_lag = std::chrono::milliseconds(300);
  base::duration report_interval = std::chrono::seconds(1);
};

[[nodiscard]] std::vector<scenario> all_scenarios();

} // namespace catkinlanding::experiment
