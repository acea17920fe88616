#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinlanding::experiment {

/// What one run showed of one class. Times are in seconds.
struct class_result {
  std::uint64_t offered = 0;
  /// Whole answers, in time or late.
  std::uint64_t answered = 0;
  std::uint64_t good = 0;
  std::uint64_t in_time = 0;
  std::vector<double> latencies;

  [[nodiscard]] double latency_quantile(double quantile) const;
  [[nodiscard]] double good_share() const;
};

/// What one run showed.
struct result {
  std::map<std::string, class_result> classes;
  /// In millionths of the currency.
  std::uint64_t cost = 0;
  std::uint64_t refusals = 0;
  std::uint64_t expired = 0;
  /// Answers in the deadline for each second, and the work in them in engine seconds, both in the
  /// window of the rush.
  double goodput = 0.0;
  double useful_work = 0.0;
  std::uint64_t degraded_answers = 0;
  std::map<std::string, std::uint64_t> answers_by_version;
  /// How far the worst-served customer stayed under its fair share in the window of the rush.
  double max_unfairness = 0.0;

  [[nodiscard]] std::uint64_t answered() const;
  [[nodiscard]] std::uint64_t good() const;
  [[nodiscard]] double cost_per_good_answer() const;
};

} // namespace catkinlanding::experiment
