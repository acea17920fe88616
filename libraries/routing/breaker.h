#pragma once

#include <libraries/base/random.h>
#include <libraries/base/time.h>

#include <array>
#include <cstdint>

namespace catkinlanding::routing {

/// Signs by which a version that turned bad is known.
enum class health_signal : std::uint8_t { failure, empty_answer, slowness, poor_rating };
constexpr std::size_t health_signal_count = 4;

/// Cuts one version back when the evidence against it is strong, and lets it return step by step.
///
/// Each sign has a cumulative sum of the log-likelihood ratio between a healthy and a bad version.
/// The breaker opens when one sum passes a threshold. While it is open only probes pass, fewer with
/// each bad one. It closes when the opposite ratio of every sign that spoke against the version has
/// passed a threshold of its own. The two thresholds are the hysteresis that keeps it from
/// flapping.
class breaker {
public:
  struct options {
    /// Log-likelihood ratio against the version at which the breaker opens.
    double opening_threshold = 9.0;
    /// The same for signs that show while it is open already.
    double additional_signal_threshold = 3.0;
    /// Log-likelihood ratio for the version at which the breaker closes.
    double closing_threshold = 3.0;
    /// For so long after opening, outcomes speak only against the version: they come from attempts
    /// that were sent before, and from peers that saw the same late.
    base::duration settling_period = std::chrono::seconds(20);
    /// Between two probes; doubles with each bad one.
    base::duration min_probe_interval = std::chrono::seconds(10);
    base::duration max_probe_interval = std::chrono::minutes(5);
    /// After closing the version's share grows from nothing to all in this time.
    base::duration ramp_up_time = std::chrono::seconds(30);
  };

  explicit breaker(options options) : m_options(options) {}

  /// One outcome. `usual` is the share of bad outcomes that a healthy version shows.
  void observe(health_signal signal, bool is_bad, double baseline, base::monotonic_time now);

  /// Whether one more request may go to the version now. Counts a probe where it allows one.
  [[nodiscard]] bool allow_request(base::monotonic_time now, base::random_generator& random);

  [[nodiscard]] bool is_open() const { return m_is_open; }

private:
  void open(std::size_t signal, base::monotonic_time now);
  void close(base::monotonic_time now);

  options m_options;
  /// Evidence against the version, and since it was cut back also for it, by sign.
  std::array<double, health_signal_count> m_degradation_score{};
  std::array<double, health_signal_count> m_recovery_score{};
  std::array<bool, health_signal_count> m_has_triggered{};
  bool m_is_open = false;
  bool m_was_open = false;
  base::duration m_probe_interval{};
  base::monotonic_time m_next_probe{};
  base::monotonic_time m_opened_at{};
  base::monotonic_time m_closed_at{};
};

} // namespace catkinlanding::routing
