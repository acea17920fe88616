#pragma once

#include <libraries/base/time.h>

namespace catkinlanding::proxy {

/// How sure a small model must be of its answer for the answer to be kept, on one service.
///
/// Every request that may run on several models begins with the smallest. Its answer is passed on
/// if the model is sure enough of it; otherwise it is dropped before its first byte, and the
/// largest model answers. The pattern this serves: a pool that has time for the largest model on
/// some requests only. The longer attempts take to begin, measured against the route's target, the
/// less sure the small one has to be, so that the pool's time goes to the requests
/// that need it most and none of them waits beyond its target.
class escalation_policy {
public:
  struct options {
    /// From 0 to 1; needed while answers begin at once.
    double max_required_confidence = 0.6;
    /// Times to the first token, as parts of the target: below the first all of the above is
    /// needed, beyond the second nothing.
    double min_pressure = 0.06;
    double max_pressure = 0.3;
    /// The weight of one observation in the mean.
    double smoothing_factor = 0.12;
    /// Without observations the pressure is halved in this time, so that the largest model is
    /// tried again.
    base::duration half_life = std::chrono::seconds(3);
  };

  escalation_policy() = default;
  explicit escalation_policy(options options) : m_options(options) {}

  /// An attempt took this long to its first token, or had not begun by then.
  void note_first_token(base::duration took, base::duration target, base::monotonic_time now);

  /// The least confidence, from 0 to 1, with which a small model's answer is kept.
  [[nodiscard]] double required_confidence(base::monotonic_time now) const;

private:
  [[nodiscard]] double pressure(base::monotonic_time now) const;

  options m_options;
  double m_pressure = 0.0;
  base::monotonic_time m_noted_at{};
};

} // namespace catkinlanding::proxy
