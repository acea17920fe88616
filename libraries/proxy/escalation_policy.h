#pragma once

#include <libraries/base/time.h>

namespace catkinlanding::proxy {

/// The confidence that a small model's answer needs in order to be kept, for one service.
///
/// A request that may run on several models starts with the smallest. Its answer is forwarded if
/// the model's confidence is high enough; otherwise it is discarded before its first byte is sent,
/// and the largest model answers. This serves pools with capacity to run the largest model for only
/// some of the requests. The longer attempts take to produce their first token, relative to the
/// route's target latency, the lower the required confidence, so that the capacity goes to the
/// requests that need it most and none of them waits longer than the target.
class escalation_policy {
public:
  struct options {
    /// Required confidence, from 0 to 1, while answers start without delay.
    double max_required_confidence = 0.6;
    /// Range of the mean time to the first token, as a fraction of the target latency, over which
    /// the required confidence falls from max_required_confidence to 0.
    double min_pressure = 0.06;
    double max_pressure = 0.3;
    /// Weight of one observation in the exponential moving average.
    double smoothing_factor = 0.12;
    /// Without observations the pressure decays with this half-life, so that the largest model is
    /// tried again.
    base::duration half_life = std::chrono::seconds(3);
  };

  escalation_policy() = default;
  explicit escalation_policy(options options) : m_options(options) {}

  /// Records the time that an attempt took to its first token, or took without producing one.
  void note_first_token(base::duration took, base::duration target, base::monotonic_time now);

  /// The confidence, from 0 to 1, below which a small model's answer is discarded.
  [[nodiscard]] double required_confidence(base::monotonic_time now) const;

private:
  [[nodiscard]] double pressure(base::monotonic_time now) const;

  options m_options;
  double m_pressure = 0.0;
  base::monotonic_time m_noted_at{};
};

} // namespace catkinlanding::proxy
