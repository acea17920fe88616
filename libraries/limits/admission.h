#pragma once

#include <libraries/base/random.h>
#include <libraries/base/time.h>
#include <libraries/limits/fair_queue.h>

namespace catkinlanding::limits {

/// Admission control of an entry instance: refuses requests that are not expected to be answered in
/// time, and queues those that wait for capacity at an endpoint. A request is let in if its
/// expected wait and the work that follows fit into the time that its caller has left, whatever its
/// priority: a priority says who is served first, not how long a caller can wait.
class admission {
public:
  struct options {
    std::uint64_t seed = 0;
    std::size_t max_waiting = 4096;
    base::duration min_retry_after = std::chrono::seconds(1);
    base::duration max_retry_after = std::chrono::seconds(30);
  };

  /// A request as admission control sees it.
  struct work {
    std::uint64_t number = 0;
    base::customer_id customer;
    base::class_id request_class;
    std::uint32_t priority = 0;
    base::monotonic_time arrived_at{};
    base::monotonic_time due{};
  };

  explicit admission(options options) : m_options(options), m_random(options.seed) {}

  /// Returns nothing if the request is admitted, otherwise the time after which its caller should
  /// retry. The retries of many callers are spread by jitter.
  [[nodiscard]] std::optional<base::duration> refuse(work const& work, base::monotonic_time now);

  /// Whether the deadline would pass even if the request started at an endpoint now.
  [[nodiscard]] bool would_miss_deadline(work const& work, base::monotonic_time now) const {
    return !fits(work, base::duration::zero(), now);
  }

  void wait(work const& work, base::monotonic_time now);
  [[nodiscard]] std::optional<std::uint64_t> next();
  /// Returns a request obtained from `next` to its place in the queue.
  void restore(work const& work);
  void cancel(std::uint64_t number);

  void started(work const& work, base::monotonic_time now);
  void finished(base::class_id const& request_class, base::duration took);

  /// Grows with the share of refused requests: in sustained overload an early retry would only be
  /// refused again.
  [[nodiscard]] base::duration retry_after(work const& work, base::duration expected_wait,
                                           base::monotonic_time now);
  [[nodiscard]] std::size_t waiting() const { return m_queue.size(); }

private:
  /// Whether the request ends by its deadline if it starts after this wait.
  [[nodiscard]] bool fits(work const& work, base::duration wait, base::monotonic_time now) const;
  [[nodiscard]] double cost_of(base::class_id const& request_class) const;
  /// Expected wait in seconds from the queue alone, before the correction by observed waits.
  [[nodiscard]] double modelled_wait(work const& work, base::monotonic_time now) const;
  [[nodiscard]] base::duration expected_wait(work const& work, base::monotonic_time now) const;
  [[nodiscard]] fair_queue::item item_of(work const& work) const;

  /// The expected wait of a queued request.
  struct expectation {
    base::class_id request_class;
    base::monotonic_time since{};
    double wait = 0.0;
  };

  /// Smoothed expected and actual waits of one class, in seconds.
  struct wait_record {
    double expected = 1.0;
    double actual = 1.0;
  };

  options m_options;
  base::random_generator m_random;
  fair_queue m_queue;
  /// Smoothed duration of an attempt by class, in seconds.
  std::map<base::class_id, double> m_costs;
  /// Smoothed rate at which work is started, in seconds of a slot per second.
  double m_rate = 0.0;
  base::monotonic_time m_rate_at{};
  std::map<std::uint64_t, expectation> m_expectations;
  std::map<base::class_id, wait_record> m_waits;
  /// Smoothed share of requests that were refused.
  double m_refused_share = 0.0;
};

} // namespace catkinlanding::limits
