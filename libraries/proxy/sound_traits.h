#pragma once

#include <libraries/base/time.h>
#include <libraries/proxy/request_trait.h>

#include <set>

namespace catkinlanding::proxy {

/// Traits of requests that were answered completely, so that they end no endpoint. They are kept in
/// two generations, of which the older one is dropped as a whole.
class sound_traits {
public:
  struct options {
    /// How long a trait is known, at least, unless there are too many.
    base::duration lifetime = std::chrono::seconds(60);
    /// Traits of a generation.
    std::size_t max_traits = 4096;
  };

  explicit sound_traits(options options) : m_options(options) {}

  void note(request_trait const& trait, base::monotonic_time now);
  [[nodiscard]] bool contains(request_trait const& trait) const;

private:
  options m_options;
  /// As hashes.
  std::set<std::uint64_t> m_current;
  std::set<std::uint64_t> m_older;
  base::monotonic_time m_since{};
};

} // namespace catkinlanding::proxy
