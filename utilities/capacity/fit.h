#pragma once

#include <string>
#include <vector>

namespace catkinlanding::capacity {

struct point {
  /// How many of the thing that grows, such as endpoints.
  double count = 0;
  /// What it costs, in the unit of the series.
  double cost = 0;
};

/// Measured points of one cost.
struct series {
  std::string cost;
  std::string unit;
  /// What grows.
  std::string per;
  std::vector<point> points;
};

/// A straight line through the points.
struct line {
  double slope = 0;
  double intercept = 0;
  /// The largest distance of a point from the line, as a share of the point's cost.
  double max_relative_error = 0;
};

/// Least squares over relative distances, so that small counts weigh as much as large ones.
[[nodiscard]] line fit(std::vector<point> const& points);

} // namespace catkinlanding::capacity
