#include <libraries/proxy/time_estimate.h>

#include <algorithm>
#include <chrono>

namespace catkinlanding::proxy {

namespace {

/// Weights of a sample in the mean and in the deviation: one in this many.
constexpr int mean_divisor = 8;
constexpr int deviation_divisor = 4;
constexpr int deviations = 4;
/// An instance that has used up its share of a processor may not run for so long, and sees by as
/// much later what has arrived.
constexpr std::chrono::milliseconds max_own_pause{100};
/// Far beyond any deadline by then.
constexpr std::uint32_t max_doublings = 16;

} // namespace

void time_estimate::add(base::duration sample) {
  m_doublings = 0;
  m_shortest = std::min(m_shortest.value_or(sample), sample);
  smooth(sample);
}

void time_estimate::add_unfinished(base::duration sample) {
  m_doublings = 0;
  smooth(sample);
}

void time_estimate::smooth(base::duration sample) {
  if (!m_mean) {
    m_mean = sample;
    m_deviation = sample / 2;
    return;
  }
  m_deviation += (std::chrono::abs(*m_mean - sample) - m_deviation) / deviation_divisor;
  *m_mean += (sample - *m_mean) / mean_divisor;
}

void time_estimate::back_off() {
  m_doublings = std::min(m_doublings + 1, max_doublings);
}

std::optional<base::duration> time_estimate::longest_usual() const {
  if (!m_mean) {
    return std::nullopt;
  }
  auto const excess = std::max<base::duration>({*m_mean, deviations * m_deviation, max_own_pause});
  auto const longest = *m_mean + excess;
  return longest * (1U << m_doublings);
}

} // namespace catkinlanding::proxy
