#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinlanding::experiment {

/// Results of one simulation run for one request class. Times are in seconds.
struct class_result {
  std::uint64_t offered = 0;
  /// Complete answers, whether or not they met the deadline.
  std::uint64_t answered = 0;
  std::uint64_t good = 0;
  std::uint64_t in_time = 0;
  std::vector<double> latencies;

  [[nodiscard]] double latency_quantile(double quantile) const;
  [[nodiscard]] double good_share() const;
};

/// Results of one simulation run.
struct result {
  std::map<std::string, class_result> classes;
  /// In millionths of the currency unit.
  std::uint64_t cost = 0;
  std::uint64_t refusals = 0;
  std::uint64_t expired = 0;
  /// Answers per second that met their deadline, and their work in engine seconds, both within the
  /// disturbance window of the scenario.
  double goodput = 0.0;
  double useful_work = 0.0;
  std::uint64_t degraded_answers = 0;
  std::map<std::string, std::uint64_t> answers_by_version;
  /// The largest relative shortfall of a customer below its max-min fair share of the work that was
  /// completed in time, for requests that arrived within the disturbance window.
  double max_unfairness = 0.0;

  [[nodiscard]] std::uint64_t answered() const;
  [[nodiscard]] std::uint64_t good() const;
  [[nodiscard]] double cost_per_good_answer() const;
};

} // namespace catkinlanding::experiment
