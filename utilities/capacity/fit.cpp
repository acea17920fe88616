#include <utilities/capacity/fit.h>

#include <algorithm>
#include <cmath>

namespace catkinlanding::capacity {

line fit(std::vector<point> const& points) {
  double weight_sum = 0;
  double weighted_count_sum = 0;
  double weighted_cost_sum = 0;
  double weighted_square_sum = 0;
  double weighted_product_sum = 0;
  for (auto const& p : points) {
    double const weight = p.cost == 0 ? 1 : 1 / (p.cost * p.cost);
    weight_sum += weight;
    weighted_count_sum += weight * p.count;
    weighted_cost_sum += weight * p.cost;
    weighted_square_sum += weight * p.count * p.count;
    weighted_product_sum += weight * p.count * p.cost;
  }
  double const denominator =
      weight_sum * weighted_square_sum - weighted_count_sum * weighted_count_sum;
  line result;
  result.slope =
      denominator == 0
          ? 0
          : (weight_sum * weighted_product_sum - weighted_count_sum * weighted_cost_sum) /
                denominator;
  result.intercept =
      weight_sum == 0 ? 0 : (weighted_cost_sum - result.slope * weighted_count_sum) / weight_sum;
  for (auto const& p : points) {
    double const distance = std::abs(result.intercept + result.slope * p.count - p.cost);
    result.max_relative_error =
        std::max(result.max_relative_error, p.cost == 0 ? 0 : distance / p.cost);
  }
  return result;
}

} // namespace catkinlanding::capacity
