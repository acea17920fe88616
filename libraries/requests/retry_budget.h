#pragma once

#include <libraries/base/time.h>

#include <cstdint>

namespace catkinlanding::requests {

/// A token bucket that limits retries to a fraction of the successful requests, so that retries
/// can't overload a pool that is already failing. All amounts are in thousandths of a retry.
class retry_budget {
public:
  struct options {
    std::int64_t per_success = 100;
    /// A steady refill, so that an instance with little traffic can retry too.
    std::int64_t per_second = 50;
    std::int64_t max_balance = 5'000;
  };

  explicit retry_budget(options options) : m_options(options), m_balance(options.max_balance) {}

  void record_success();
  /// Takes one retry out of the budget, or returns false if the budget is used up.
  [[nodiscard]] bool try_spend(base::monotonic_time now);

private:
  void add(std::int64_t amount);

  options m_options;
  std::int64_t m_balance = 0;
  base::monotonic_time m_refilled_at{};
};

} // namespace catkinlanding::requests
