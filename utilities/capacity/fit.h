#pragma once

#include <string>
#include <vector>

namespace catkinlanding::capacity {

struct point {
  /// The size of the workload, such as the number of endpoints.
  double count = 0;
  /// The measured cost in the unit of the series.
  double cost = 0;
};

/// The measured values of one cost at different workload sizes.
struct series {
  std::string cost;
  std::string unit;
  /// What the count of a point stands for, such as "endpoints".
  std::string per;
  std::vector<point> points;
};

/// A straight line fitted to the points.
struct line {
  double slope = 0;
  double intercept = 0;
  /// The largest distance of a point from the line, relative to the point's cost.
  double max_relative_error = 0;
};

/// Weighted least squares that minimises the relative error, so that points with a small cost count
/// as much as those with a large one.
[[nodiscard]] line fit(std::vector<point> const& points);

} // namespace catkinlanding::capacity
