#pragma once

#include <libraries/base/time.h>

#include <array>
#include <cstdint>

namespace catkinlanding::proxy {

/// Keeps one instance's further attempts within its part of a bound that holds for all instances
/// together: so many in a window as a share of the requests, and a fixed number on top.
class retry_limiter {
public:
  struct options {
    /// The bound for all instances: further attempts for each request of the window.
    double ratio = 0.1;
    /// The bound for all instances: further attempts on top of the share.
    std::uint32_t slack = 10;
    base::duration window = std::chrono::seconds(10);
  };

  explicit retry_limiter(options options) : m_options(options) {}

  void set_instances(std::uint32_t count) { m_instances = count; }
  void note_request(base::monotonic_time now);
  /// Takes one further attempt, or returns false where the window's are used up but for the part
  /// that is to be left.
  [[nodiscard]] bool try_spend(base::monotonic_time now, double reserved_part = 0.0);

private:
  /// The window is counted in this many steps.
  static constexpr std::size_t bucket_count = 10;

  struct bucket {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  bucket& current_bucket(base::monotonic_time now);

  options m_options;
  std::uint32_t m_instances = 1;
  /// One more than the window has, so that no window of that length holds more than allowed.
  std::array<bucket, bucket_count + 1> m_buckets{};
};

} // namespace catkinlanding::proxy
