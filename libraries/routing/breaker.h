#pragma once

#include <libraries/base/random.h>
#include <libraries/base/time.h>

#include <array>
#include <cstdint>

namespace catkinlanding::routing {

/// Kinds of evidence that a version has degraded.
enum class health_signal : std::uint8_t { failure, empty_answer, slowness, poor_rating };
constexpr std::size_t health_signal_count = 4;

/// Outcomes that are reported together, in an order that nobody knows.
struct outcome_batch {
  std::uint32_t good = 0;
  std::uint32_t bad = 0;
};

/// Circuit breaker for one version: it cuts the version off when the evidence of degradation is
/// strong, and restores its traffic gradually.
///
/// Each signal keeps a cumulative sum (CUSUM) of the log-likelihood ratio between a degraded and a
/// healthy version. The breaker opens when one sum reaches a threshold. While it is open only
/// probes pass, and each bad one doubles the probe interval. It closes when every signal that
/// triggered has accumulated enough evidence of recovery. The separate thresholds for opening and
/// closing provide the hysteresis that prevents flapping.
class breaker {
public:
  struct options {
    /// Cumulative log-likelihood ratio for degradation at which the breaker opens.
    double opening_threshold = 9.0;
    /// The same for further signals while the breaker is open already; these must recover as well
    /// before it closes.
    double additional_signal_threshold = 3.0;
    /// Cumulative log-likelihood ratio for recovery at which the breaker closes.
    double closing_threshold = 3.0;
    /// For this long after opening, good outcomes are not counted as recovery: they come from
    /// attempts sent before it opened, and from delayed reports of peers.
    base::duration settling_period = std::chrono::seconds(20);
    /// Time between two probes; doubles with each bad outcome, up to the maximum.
    base::duration min_probe_interval = std::chrono::seconds(10);
    base::duration max_probe_interval = std::chrono::minutes(5);
    /// Time after closing over which the version's share of traffic grows linearly from zero to
    /// all.
    base::duration ramp_up_time = std::chrono::seconds(30);
  };

  explicit breaker(options options) : m_options(options) {}

  /// Records outcomes. `baseline` is the rate of bad outcomes of a healthy version.
  void observe(health_signal signal, outcome_batch outcomes, double baseline,
               base::monotonic_time now);

  /// Whether one more request may go to the version now. While the breaker is open, an allowed
  /// request is a probe and schedules the next one.
  [[nodiscard]] bool allow_request(base::monotonic_time now, base::random_generator& random);

  [[nodiscard]] bool is_open() const { return m_is_open; }

  /// Whether slowness alone opened the breaker when it last opened, and no other signal has
  /// triggered since: the version's answers are slow, but they are answers.
  [[nodiscard]] bool is_only_slow() const;

private:
  void observe_while_open(std::size_t signal, outcome_batch outcomes, double recovery,
                          base::monotonic_time now);
  void open(std::size_t signal, base::monotonic_time now);
  void close(base::monotonic_time now);

  options m_options;
  /// Cumulative log-likelihood ratios for degradation, by signal.
  std::array<double, health_signal_count> m_degradation_score{};
  /// The same for recovery, since the breaker opened.
  std::array<double, health_signal_count> m_recovery_score{};
  /// Signals that must recover before the breaker closes.
  std::array<bool, health_signal_count> m_has_triggered{};
  bool m_is_open = false;
  bool m_was_open = false;
  base::duration m_probe_interval{};
  base::monotonic_time m_next_probe{};
  base::monotonic_time m_opened_at{};
  base::monotonic_time m_closed_at{};
};

} // namespace catkinlanding::routing
