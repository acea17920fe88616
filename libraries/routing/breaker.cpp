#include <libraries/routing/breaker.h>

#include <algorithm>
#include <cmath>

namespace catkinlanding::routing {

namespace {

/// Increase of the bad-outcome rate over the baseline that counts as degraded, by signal.
constexpr std::array<double, health_signal_count> degradation_margins{0.15, 0.10, 0.40, 0.35};
constexpr double min_baseline = 0.01;
constexpr double max_baseline = 0.6;

} // namespace

void breaker::observe(health_signal signal, outcome_batch outcomes, double baseline,
                      base::monotonic_time now) {
  if (outcomes.good == 0 && outcomes.bad == 0) {
    return;
  }
  auto const index = static_cast<std::size_t>(signal);
  double const healthy = std::clamp(baseline, min_baseline, max_baseline);
  double const degraded = healthy + degradation_margins.at(index);
  double const bad_evidence = outcomes.bad * std::log(degraded / healthy);
  double const good_evidence = outcomes.good * std::log((1.0 - degraded) / (1.0 - healthy));
  // One step for the whole batch: taken one after the other, with all bad outcomes in a row, the
  // outcomes of a healthy version would open the breaker.
  auto& score = m_degradation_score.at(index);
  score = std::max(0.0, score + bad_evidence + good_evidence);
  if (!m_is_open) {
    if (score >= m_options.opening_threshold) {
      open(index, now);
    }
    return;
  }
  bool const is_settled = now >= m_opened_at + m_options.settling_period;
  observe_while_open(index, outcomes, -bad_evidence - (is_settled ? good_evidence : 0.0), now);
}

void breaker::observe_while_open(std::size_t signal, outcome_batch outcomes, double recovery,
                                 base::monotonic_time now) {
  m_recovery_score.at(signal) = std::max(0.0, m_recovery_score.at(signal) + recovery);
  if (m_degradation_score.at(signal) >= m_options.additional_signal_threshold) {
    m_has_triggered.at(signal) = true;
  }
  for (std::uint32_t i = 0; i < outcomes.bad && m_probe_interval < m_options.max_probe_interval;
       ++i) {
    m_probe_interval = std::min(m_probe_interval * 2, m_options.max_probe_interval);
  }
  if (outcomes.bad > 0) {
    m_next_probe = std::max(m_next_probe, now + m_probe_interval);
  }
  for (std::size_t i = 0; i < health_signal_count; ++i) {
    if (m_has_triggered.at(i) && m_recovery_score.at(i) < m_options.closing_threshold) {
      return;
    }
  }
  close(now);
}

bool breaker::allow_request(base::monotonic_time now, base::random_generator& random) {
  if (m_is_open) {
    if (now < m_next_probe) {
      return false;
    }
    m_next_probe = now + m_probe_interval;
    return true;
  }
  if (!m_was_open || now >= m_closed_at + m_options.ramp_up_time) {
    return true;
  }
  auto const share = std::chrono::duration<double>(now - m_closed_at) /
                     std::chrono::duration<double>(m_options.ramp_up_time);
  return std::uniform_real_distribution<double>(0.0, 1.0)(random) < share;
}

bool breaker::is_only_slow() const {
  constexpr auto slowness = static_cast<std::size_t>(health_signal::slowness);
  auto const triggered = std::ranges::count(m_has_triggered, true);
  return m_has_triggered.at(slowness) && triggered == 1;
}

void breaker::open(std::size_t signal, base::monotonic_time now) {
  m_is_open = true;
  m_opened_at = now;
  m_degradation_score.fill(0.0);
  m_recovery_score.fill(0.0);
  m_has_triggered.fill(false);
  m_has_triggered.at(signal) = true;
  m_probe_interval = m_options.min_probe_interval;
  m_next_probe = now + m_probe_interval;
}

void breaker::close(base::monotonic_time now) {
  m_is_open = false;
  m_was_open = true;
  m_closed_at = now;
  m_degradation_score.fill(0.0);
}

} // namespace catkinlanding::routing
