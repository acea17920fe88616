#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

/// Rate limits, admission control and fair queueing.
namespace catkinlanding::limits {

/// The queue of requests waiting at an entry instance. Higher priorities, which have smaller
/// numbers, run first. Within one priority the least served customer goes first (start-time fair
/// queueing), and the requests of one customer in the order of their arrival, whether they wait for
/// their first attempt or for another one. Work counts at its own priority and at all lower ones,
/// so that a customer's long reports never delay its own lookups, while its lookups count against
/// its reports.
class fair_queue {
public:
  struct item {
    std::uint64_t number = 0;
    base::customer_id customer;
    /// The model whose endpoints the item waits for.
    base::model_id model;
    std::uint32_t priority = 0;
    base::monotonic_time arrived_at{};
    /// Expected work, in seconds of a slot.
    double cost = 0.0;
  };

  /// Inserts the item behind those of its customer that arrived before.
  void push(item item);
  /// Takes out the next item, without those that wait for a model whose endpoints have no room.
  [[nodiscard]] std::optional<item> pop(std::set<base::model_id> const& full_models = {});

  /// Returns an item that was popped and did not run, and undoes the accounting of its pop.
  void restore(item item);

  void remove(std::uint64_t number);

  /// Work expected to run before an item, in seconds of a slot, if further work of its customer and
  /// priority is queued before it.
  [[nodiscard]] double work_ahead(base::customer_id const& customer, std::uint32_t priority,
                                  base::monotonic_time arrived_at, double further_work = 0.0) const;
  [[nodiscard]] std::size_t size() const { return m_locations.size(); }

private:
  /// The waiting items of one customer at one priority, ordered by arrival.
  struct customer_queue {
    std::deque<item> items;
    double cost = 0.0;
  };

  struct level {
    std::map<base::customer_id, customer_queue> waiting;
    /// Work served to each customer at this and all higher priorities.
    std::map<base::customer_id, double> served;
    /// The `served` value of the customer served last, at the time it was picked.
    double virtual_time = 0.0;
    /// The cost of all waiting items.
    double cost = 0.0;
  };

  struct location {
    base::customer_id customer;
    std::uint32_t priority = 0;
  };

  void insert(item item);
  [[nodiscard]] std::optional<item> pop(level& level, std::set<base::model_id> const& full_models);
  /// Takes the item out of its customer's queue.
  static item take(level& level, std::map<base::customer_id, customer_queue>::iterator queue,
                   std::deque<item>::iterator const& place);
  /// Adds to the work served to the item's customer.
  void account(item const& item, double cost);
  /// Drops the accounting once the queue is empty, which bounds the state.
  void reset_if_empty();

  std::map<std::uint32_t, level> m_levels;
  /// Location of each queued item.
  std::map<std::uint64_t, location> m_locations;
};

} // namespace catkinlanding::limits
