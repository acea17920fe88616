#pragma once

#include <libraries/base/time.h>
#include <libraries/limits/expected_returns.h>
#include <libraries/limits/fair_queue.h>

#include <map>
#include <optional>
#include <unordered_map>

namespace catkinlanding::limits {

/// Admission control of an entry instance: refuses requests that are not expected to be answered in
/// time, and queues those that wait for capacity at an endpoint. A request is let in if its
/// expected wait and the work that follows fit into the time that its caller has left, whatever its
/// priority: a priority says who is served first, not how long a caller can wait.
class admission {
public:
  struct options {
    std::size_t max_waiting = 4096;
  };

  /// A request as admission control sees it.
  struct work {
    std::uint64_t number = 0;
    base::customer_id customer;
    base::model_id model;
    base::class_id request_class;
    std::uint32_t priority = 0;
    base::monotonic_time arrived_at{};
    base::monotonic_time due{};
  };

  struct refusal {
    /// After this time a request with as much time is expected to be let in, by the work that waits
    /// now and the callers who were told to come back before. Empty if the time that this caller
    /// has left is too short for the work alone.
    std::optional<base::duration> retry_after;
  };

  explicit admission(options options) : m_options(options) {}

  /// Returns nothing if the request is let in.
  [[nodiscard]] std::optional<refusal> refuse(work const& work, base::monotonic_time now);

  /// Whether the deadline would pass even if the request started at an endpoint now.
  [[nodiscard]] bool would_miss_deadline(work const& work, base::monotonic_time now) const {
    return !fits(work, base::duration::zero(), now);
  }

  /// Queues a request that was let in. It counts as in progress until `leave`.
  void wait(work const& work, base::monotonic_time now);
  /// The next request, without those for a model whose endpoints have no room.
  [[nodiscard]] std::optional<std::uint64_t> next(std::set<base::model_id> const& full_models = {});
  /// Returns a request obtained from `next` to its place in the queue.
  void restore(work const& work);
  /// The request waits no longer and starts no further attempt.
  void leave(std::uint64_t number);

  void started(work const& work, base::monotonic_time now);
  /// An attempt has ended after this time, or was given up after it.
  void finished(base::class_id const& request_class, base::duration took);

  [[nodiscard]] std::size_t waiting() const { return m_queue.size(); }

private:
  /// What is known of the requests of one class.
  struct class_record {
    /// Smoothed duration of an attempt, in seconds.
    std::optional<double> cost;
    /// Requests that wait or run.
    std::size_t in_progress = 0;
    /// Smoothed expected and actual waits, in seconds.
    double expected_wait = 1.0;
    double actual_wait = 1.0;
  };

  /// Callers who wait for the same turns.
  struct returning_group {
    base::customer_id customer;
    std::uint32_t priority = 0;

    auto operator<=>(returning_group const&) const = default;
  };

  /// A request that was let in.
  struct admitted_request {
    base::class_id request_class;
    base::monotonic_time since{};
    /// The wait, in seconds, that was expected by the queue alone; empty once an attempt started.
    std::optional<double> expected_wait;
  };

  /// Whether the request ends by its deadline if it starts after this wait.
  [[nodiscard]] bool fits(work const& work, base::duration wait, base::monotonic_time now) const;
  /// The expected duration of an attempt, in seconds. Zero while no other request of the class is
  /// in progress: what was learned may no longer hold then, and only another attempt can show it.
  [[nodiscard]] double expected_cost(work const& work) const;
  /// What an attempt counts for in its customer's share and in the queue, in seconds of a slot.
  [[nodiscard]] double accounted_cost(base::class_id const& request_class) const;
  /// The rate at which work is started, in seconds of a slot per second.
  [[nodiscard]] double expected_rate(base::monotonic_time now) const;
  /// Expected wait in seconds behind the queue and further work of the same customer and priority,
  /// before the correction by observed waits.
  [[nodiscard]] double modelled_wait(work const& work, double further_work,
                                     base::monotonic_time now) const;
  [[nodiscard]] base::duration expected_wait(work const& work, double further_work,
                                             base::monotonic_time now) const;
  /// What `refusal::retry_after` says.
  [[nodiscard]] std::optional<base::duration> time_until_room(work const& work,
                                                              base::monotonic_time now);
  [[nodiscard]] fair_queue::item item_of(work const& work) const;

  [[nodiscard]] class_record& record_of(base::class_id const& request_class);

  options m_options;
  fair_queue m_queue;
  expected_returns<returning_group> m_returns{{}};
  std::map<base::class_id, class_record> m_classes;
  std::unordered_map<std::uint64_t, admitted_request> m_admitted;
  /// Whether any attempt has finished.
  bool m_has_evidence = false;
  /// Smoothed rate at which work is started, in seconds of a slot per second.
  double m_rate = 0.0;
  base::monotonic_time m_rate_at{};
};

} // namespace catkinlanding::limits
