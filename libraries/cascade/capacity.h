#pragma once

#include <algorithm>
#include <cstddef>

namespace catkinlanding::cascade {

/// What the endpoints of a service have left for further work, as last reported.
struct capacity {
  /// Endpoints that would process a prompt at once.
  std::size_t idle = 0;
  /// All that accept requests.
  std::size_t ready = 0;

  /// The part of the endpoints that is idle, from 0 to 1.
  [[nodiscard]] double idle_share() const {
    return ready == 0 ? 0.0
                      : static_cast<double>(std::min(idle, ready)) / static_cast<double>(ready);
  }
};

} // namespace catkinlanding::cascade
