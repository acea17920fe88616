#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

/// Who may have how much of the system, and who is served first when it runs out.
namespace catkinlanding::limits {

/// Work that waits at an entry instance. Smaller priorities run first; greater ones get a
/// guaranteed part. Within one priority the customer goes first that was served least: start-time
/// fair queueing over the work of this priority and of all smaller ones. So a customer's long
/// reports never delay its own lookups, and its lookups count against its reports.
class fair_queue {
public:
  struct options {
    /// Part of the work that goes to greater priorities while they wait.
    double low_priority_share = 0.2;
    /// For so long after smaller priorities had to wait, room is kept from greater ones that have
    /// had their part already.
    base::duration contention_window = std::chrono::seconds(1);
  };

  struct item {
    std::uint64_t number = 0;
    base::customer_id customer;
    std::uint32_t priority = 0;
    /// Expected work in seconds of a slot.
    double cost = 0.0;
  };

  explicit fair_queue(options options) : m_options(options) {}

  void push(item item);
  [[nodiscard]] std::optional<item> pop(base::monotonic_time now);

  /// Puts an item to the front of its customer's work, as if it had not been popped.
  void restore(item item, base::monotonic_time now);

  void remove(std::uint64_t number);

  /// Work that is expected to run before a new item.
  [[nodiscard]] double work_ahead(base::customer_id const& customer, std::uint32_t priority) const;
  [[nodiscard]] std::size_t size() const { return m_locations.size(); }

private:
  struct level {
    std::map<base::customer_id, std::deque<item>> waiting;
    /// Work that each customer was given, at this priority and smaller ones.
    std::map<base::customer_id, double> served;
    /// What had been served of the customer that was taken last, when it was taken.
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
  /// Nobody waits, so nobody is owed anything. Bounds the state.
  void reset_if_empty();

  options m_options;
  levels m_levels;
  /// Where each waiting item is found.
  std::map<std::uint64_t, location> m_locations;
  /// Work that greater priorities have earned by waiting.
  double m_low_priority_credit = 0.0;
  /// The smallest priority that found no room, and when that was last.
  std::uint32_t m_contended_priority = 0;
  std::optional<base::monotonic_time> m_contended_at;
};

} // namespace catkinlanding::limits
