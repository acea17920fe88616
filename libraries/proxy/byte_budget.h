#pragma once

#include <libraries/base/time.h>

#include <cstddef>
#include <cstdint>

namespace catkinlanding::proxy {

/// Limits the bytes of large messages that are sent in a time. A message may exceed what is left,
/// and the following ones wait until that is made up for.
class byte_budget {
public:
  struct options {
    std::uint64_t bytes_per_second = 40'000'000;
    /// What may be sent at once after a rest.
    std::uint64_t burst_bytes = 10'000'000;
  };

  explicit byte_budget(options options) : m_options(options) {}

  /// Takes the bytes. Returns false if nothing is left.
  [[nodiscard]] bool try_take(std::size_t bytes, base::monotonic_time now);

private:
  [[nodiscard]] base::duration time_of(std::uint64_t bytes) const;

  options m_options;
  /// When everything taken so far has been made up for.
  base::monotonic_time m_used_until{};
};

} // namespace catkinlanding::proxy
