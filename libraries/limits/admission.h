#pragma once

#include <libraries/base/random.h>
#include <libraries/base/time.h>
#include <libraries/limits/fair_queue.h>

namespace catkinlanding::limits {

/// Decides at an entry instance whether a request can still be answered in time, and holds those
/// that wait for room at an endpoint.
class admission {
public:
  struct options {
    std::uint64_t seed = 0;
    /// Part of the time up to the deadline that a request may expect to wait.
    double max_wait_share = 0.1;
    /// The same for priorities above zero, whose callers do not stand and wait.
    double max_low_priority_wait_share = 0.4;
    std::size_t max_waiting = 4096;
    base::duration min_retry_after = std::chrono::seconds(1);
    base::duration max_retry_after = std::chrono::seconds(30);
    fair_queue::options queue;
  };

  /// What is asked of the queue.
  struct work {
    std::uint64_t number = 0;
    base::customer_id customer;
    base::class_id request_class;
    std::uint32_t priority = 0;
    base::monotonic_time due{};
  };

  explicit admission(options options)
      : m_options(options), m_random(options.seed), m_queue(options.queue) {}

  /// Nothing where the request may go on; otherwise when its caller should come back. The returns
  /// of many callers are spread.
  [[nodiscard]] std::optional<base::duration> refuse(work const& work, base::monotonic_time now);

  /// Whether the request can no longer be answered in time, whatever endpoint gets it.
  [[nodiscard]] bool would_miss_deadline(work const& work, base::monotonic_time now) const;

  void wait(work const& work, base::monotonic_time now);
  [[nodiscard]] std::optional<std::uint64_t> next(base::monotonic_time now);
  /// Puts the request that `next` gave back in its place.
  void restore(work const& work, base::monotonic_time now);
  void cancel(std::uint64_t number);

  void started(work const& work, base::monotonic_time now);
  void finished(base::class_id const& request_class, base::duration took);

  /// Grows with the share of requests that are refused: in lasting overload a caller that comes
  /// back soon is only refused again.
  [[nodiscard]] base::duration retry_after(work const& work, base::duration expected_wait,
                                           base::monotonic_time now);
  [[nodiscard]] std::size_t waiting() const { return m_queue.size(); }

private:
  [[nodiscard]] double cost_of(base::class_id const& request_class) const;
  /// The queue's part of the estimate, in seconds, before it is corrected by what came.
  [[nodiscard]] double modelled_wait(work const& work, base::monotonic_time now) const;
  [[nodiscard]] base::duration expected_wait(work const& work, base::monotonic_time now) const;
  [[nodiscard]] fair_queue::item item_of(work const& work) const;

  /// What was expected of a waiting request.
  struct expectation {
    base::class_id request_class;
    base::monotonic_time since{};
    double wait = 0.0;
  };

  /// Smoothed waits of one class in seconds: what was expected, and what came.
  struct wait_record {
    double expected = 1.0;
    double actual = 1.0;
  };

  options m_options;
  base::random_generator m_random;
  fair_queue m_queue;
  /// Usual time of an attempt in seconds.
  std::map<base::class_id, double> m_costs;
  /// Work started per second, smoothed.
  double m_rate = 0.0;
  base::monotonic_time m_rate_at{};
  std::map<std::uint64_t, expectation> m_expectations;
  std::map<base::class_id, wait_record> m_waits;
  /// Share of the latest requests that were refused.
  double m_refused_share = 0.0;
};

} // namespace catkinlanding::limits
