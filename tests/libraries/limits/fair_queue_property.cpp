#include <libraries/base/random.h>
#include <libraries/limits/fair_queue.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace catkinlanding::limits {

namespace {

constexpr std::size_t customer_count = 5;
constexpr double short_cost = 1.0;
constexpr double long_cost = 20.0;
constexpr int pops = 3000;
constexpr base::monotonic_time start{std::chrono::hours(1)};

base::customer_id customer_of(std::size_t number) {
  return {std::to_string(number)};
}

/// Items arrive in the order of their numbers.
fair_queue::item item_for(std::uint64_t number, std::size_t customer, bool is_long) {
  return {.number = number,
          .customer = customer_of(customer),
          .priority = is_long ? 5U : 0U,
          .arrived_at = start + std::chrono::milliseconds(number),
          .cost = is_long ? long_cost : short_cost};
}

/// Items of drawn customers, priorities and costs, some of which were popped already.
class drawn_queue {
public:
  drawn_queue() {
    auto const count = *rc::gen::inRange(1, 60);
    for (int i = 0; i < count; ++i) {
      queue.push(draw());
      if (*rc::gen::inRange(0, 4) == 0) {
        static_cast<void>(queue.pop());
      }
    }
  }

  [[nodiscard]] fair_queue::item draw() {
    ++number;
    return {.number = number,
            .customer = customer_of(*rc::gen::inRange<std::size_t>(0, customer_count)),
            .priority = *rc::gen::inRange<std::uint32_t>(0, 3),
            .arrived_at = start + std::chrono::milliseconds(number),
            .cost = max_cost * (*rc::gen::inRange(1, 64)) / 64.0};
  }

  static constexpr double max_cost = 3.0;
  fair_queue queue;
  std::uint64_t number = 0;
};

} // namespace

/// Every customer always has queued work of both priorities; one has far more than the others.
RC_GTEST_PROP(fair_queue, serves_higher_priorities_first_and_customers_alike,
              (std::uint64_t seed)) {
  base::random_generator random(seed);
  fair_queue queue;
  std::uint64_t number = 0;
  for (std::size_t customer = 0; customer < customer_count; ++customer) {
    for (int i = 0; i < (customer == 0 ? 500 : 2); ++i) {
      queue.push(item_for(++number, customer, false));
      queue.push(item_for(++number, customer, true));
    }
  }
  std::map<base::customer_id, double> short_work;
  for (int i = 0; i < pops; ++i) {
    auto item = queue.pop();
    RC_ASSERT(item.has_value());
    if (random() % 4 == 0) {
      // No endpoint had capacity: the restored item must be popped again.
      auto const expected = item->number;
      queue.restore(std::move(*item));
      item = queue.pop();
      RC_ASSERT(item && item->number == expected);
    }
    RC_ASSERT(item->priority == 0U);
    short_work[item->customer] += item->cost;
    queue.push(item_for(++number, std::stoul(item->customer.value), false));
  }
  double const fair = pops * short_cost / customer_count;
  for (std::size_t customer = 0; customer < customer_count; ++customer) {
    RC_ASSERT(short_work[customer_of(customer)] > 0.95 * fair);
  }
}

/// Guards against holding free capacity back from a lower priority: whatever waits is served while
/// nothing of a higher priority does.
RC_GTEST_PROP(fair_queue, serves_whatever_waits, ()) {
  drawn_queue drawn;
  while (drawn.queue.size() > 0) {
    auto const item = drawn.queue.pop();
    RC_ASSERT(item.has_value());
    if (*rc::gen::inRange(0, 4) == 0) {
      drawn.queue.restore(*item);
      auto const again = drawn.queue.pop();
      RC_ASSERT(again && again->number == item->number);
    }
  }
  RC_ASSERT(!drawn.queue.pop().has_value());
}

/// A request that waits for another attempt has arrived before those that came during its first
/// one.
RC_GTEST_PROP(fair_queue, serves_one_customer_by_arrival, ()) {
  fair_queue queue;
  auto numbers =
      *rc::gen::unique<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 1000));
  for (auto const number : numbers) {
    queue.push(item_for(number, 0, false));
  }
  std::ranges::sort(numbers);
  for (auto const number : numbers) {
    auto const item = queue.pop();
    RC_ASSERT(item && item->number == number);
  }
}

/// The wait that a request is told follows from the work that is really served before it.
RC_GTEST_PROP(fair_queue, knows_the_work_ahead, ()) {
  drawn_queue drawn;
  auto const item = drawn.draw();
  auto const expected = drawn.queue.work_ahead(item.customer, item.priority, item.arrived_at);
  drawn.queue.push(item);
  double ahead = 0.0;
  for (auto popped = drawn.queue.pop(); popped->number != item.number; popped = drawn.queue.pop()) {
    ahead += popped->cost;
  }
  // Items are served whole, so each customer may be ahead or behind by one.
  RC_ASSERT(std::abs(ahead - expected) <= customer_count * drawn_queue::max_cost);
}

} // namespace catkinlanding::limits
