#include <libraries/base/random.h>
#include <libraries/limits/fair_queue.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>

namespace catkinlanding::limits {

namespace {

constexpr std::size_t customer_count = 5;
constexpr double short_cost = 1.0;
constexpr double long_cost = 20.0;
constexpr int pops = 3000;

fair_queue::item item_for(std::uint64_t number, std::size_t customer, bool is_long) {
  return {.number = number,
          .customer = {std::to_string(customer)},
          .priority = is_long ? 5U : 0U,
          .cost = is_long ? long_cost : short_cost};
}

} // namespace

/// Every customer always has queued work of both priorities; one has far more than the others.
RC_GTEST_PROP(fair_queue, serves_customers_and_priorities_by_their_shares, (std::uint64_t seed)) {
  base::random_generator random(seed);
  fair_queue queue({});
  base::monotonic_time const now{std::chrono::seconds(1)};
  std::uint64_t number = 0;
  for (std::size_t customer = 0; customer < customer_count; ++customer) {
    for (int i = 0; i < (customer == 0 ? 500 : 2); ++i) {
      queue.push(item_for(++number, customer, false));
      queue.push(item_for(++number, customer, true));
    }
  }
  std::map<base::customer_id, double> short_work;
  double long_work = 0.0;
  double all_work = 0.0;
  int since_long = 0;
  for (int i = 0; i < pops; ++i) {
    auto item = queue.pop(now);
    RC_ASSERT(item.has_value());
    if (random() % 4 == 0) {
      // No endpoint had capacity: the restored item must be popped again.
      auto const expected = item->number;
      queue.restore(std::move(*item), now);
      item = queue.pop(now);
      RC_ASSERT(item && item->number == expected);
    }
    bool const is_long = item->priority != 0;
    all_work += item->cost;
    long_work += is_long ? item->cost : 0.0;
    since_long = is_long ? 0 : since_long + 1;
    // The low-priority share of 0.2 is earned by four times as much short work.
    RC_ASSERT(since_long <= static_cast<int>(4.0 * long_cost / short_cost) + 2);
    if (!is_long) {
      short_work[item->customer] += item->cost;
    }
    queue.push(item_for(++number, std::stoul(item->customer.value), is_long));
  }
  RC_ASSERT(long_work < 0.25 * all_work);
  double const fair = (all_work - long_work) / customer_count;
  for (std::size_t customer = 0; customer < customer_count; ++customer) {
    RC_ASSERT(short_work[{std::to_string(customer)}] > 0.95 * fair);
  }
}

} // namespace catkinlanding::limits
