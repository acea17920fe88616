#pragma once

#include <libraries/base/time.h>

#include <array>
#include <cstdint>

namespace catkinlanding::proxy {

/// Limits the retries of one instance to its share of a bound that applies to all instances
/// together. In every time window the bound is a fraction of the requests plus a fixed number.
class retry_limiter {
public:
  struct options {
    /// Retries allowed per request in the window, over all instances.
    double ratio = 0.1;
    /// Additional retries allowed in the window, over all instances.
    double slack = 10;
    base::duration window = std::chrono::seconds(10);
  };

  explicit retry_limiter(options options) : m_options(options) {}

  void set_instances(std::uint32_t count) { m_instances = count; }
  void note_request(base::monotonic_time now);
  /// Takes one retry. Returns false if that would leave less than this many.
  [[nodiscard]] bool try_spend(base::monotonic_time now, std::uint32_t reserved = 0);
  /// The retries that are left now; negative if the bound has fallen since they were taken.
  [[nodiscard]] double left(base::monotonic_time now);

private:
  /// Number of buckets that the window is divided into.
  static constexpr std::size_t bucket_count = 10;

  struct bucket {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  bucket& current_bucket(base::monotonic_time now);

  options m_options;
  std::uint32_t m_instances = 1;
  /// One bucket more than the window has, so that no interval of the window's length exceeds the
  /// limit, whatever its alignment.
  std::array<bucket, bucket_count + 1> m_buckets{};
};

} // namespace catkinlanding::proxy
