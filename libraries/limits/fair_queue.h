#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

/// Rate limits, admission control and fair queueing.
namespace catkinlanding::limits {

/// The queue of requests waiting at an entry instance. Higher priorities, which have smaller
/// numbers, run first; lower ones are guaranteed a share. Within one priority the least served
/// customer goes first (start-time fair queueing). Work counts at its own priority and at all lower
/// ones, so that a customer's long reports never delay its own lookups, while its lookups count
/// against its reports.
class fair_queue {
public:
  struct options {
    /// Share of the work that goes to lower priorities while they wait.
    double low_priority_share = 0.2;
    /// For this long after a higher priority found no capacity, lower priorities that have used up
    /// their share are held back.
    base::duration contention_window = std::chrono::seconds(1);
  };

  struct item {
    std::uint64_t number = 0;
    base::customer_id customer;
    std::uint32_t priority = 0;
    /// Expected work, in seconds of a slot.
    double cost = 0.0;
  };

  explicit fair_queue(options options) : m_options(options) {}

  void push(item item);
  [[nodiscard]] std::optional<item> pop(base::monotonic_time now);

  /// Returns an item to the front of its customer's queue and undoes the accounting of its pop. The
  /// priority is recorded as contended.
  void restore(item item, base::monotonic_time now);

  void remove(std::uint64_t number);

  /// Work expected to run before a new item, in seconds of a slot.
  [[nodiscard]] double work_ahead(base::customer_id const& customer, std::uint32_t priority) const;
  [[nodiscard]] std::size_t size() const { return m_locations.size(); }

private:
  struct level {
    std::map<base::customer_id, std::deque<item>> waiting;
    /// Work served to each customer at this and all higher priorities.
    std::map<base::customer_id, double> served;
    /// The `served` value of the customer served last, at the time it was picked.
    double virtual_time = 0.0;
  };

  struct location {
    base::customer_id customer;
    std::uint32_t priority = 0;
  };

  using levels = std::map<std::uint32_t, level>;

  [[nodiscard]] levels::iterator next_level(base::monotonic_time now);
  void account(item const& item, double sign, base::monotonic_time now);
  [[nodiscard]] bool is_contended(base::monotonic_time now) const;
  /// Drops the accounting once the queue is empty, which bounds the state.
  void reset_if_empty();

  options m_options;
  levels m_levels;
  /// Location of each queued item.
  std::map<std::uint64_t, location> m_locations;
  /// Work that lower priorities have earned by waiting; negative once they exceed their share.
  double m_low_priority_credit = 0.0;
  /// The highest priority that recently found no capacity, and when it last did.
  std::uint32_t m_contended_priority = 0;
  std::optional<base::monotonic_time> m_contended_at;
};

} // namespace catkinlanding::limits
