#include <libraries/routing/quality_estimates.h>

#include <algorithm>
#include <cmath>

namespace catkinlanding::routing {

void quality_estimates::add(key const& key, double good, double poor, base::monotonic_time now) {
  auto known = counts_of(key, now);
  known.good += good;
  known.poor += poor;
  m_counts[key] = known;
  if (m_counts.size() > m_options.max_arms) {
    auto const oldest =
        std::ranges::min_element(m_counts, {}, [](auto const& item) { return item.second.at; });
    m_counts.erase(oldest);
  }
}

void quality_estimates::forget(base::model_id const& model, base::version_id const& version) {
  std::erase_if(m_counts, [&](auto const& item) {
    auto const& arm = item.first.arm;
    return item.first.model == model && (arm.first == version || arm.second == version);
  });
}

double quality_estimates::mean(key const& key, double prior, base::monotonic_time now) const {
  auto const known = counts_of(key, now);
  return (known.good + prior * m_options.prior_weight) /
         (known.good + known.poor + m_options.prior_weight);
}

double quality_estimates::deviation(key const& key, double prior, base::monotonic_time now) const {
  double const share = mean(key, prior, now);
  return std::sqrt(share * (1.0 - share) / (evidence(key, now) + m_options.prior_weight + 1.0));
}

double quality_estimates::sample(key const& key, double prior, base::monotonic_time now,
                                 base::random_generator& random) const {
  constexpr double min_shape = 0.01;
  auto const known = counts_of(key, now);
  double const good = std::max(min_shape, known.good + prior * m_options.prior_weight);
  double const poor = std::max(min_shape, known.poor + (1.0 - prior) * m_options.prior_weight);
  // X / (X + Y) of two gamma variates follows the beta distribution.
  double const left = std::gamma_distribution<double>(good)(random);
  double const right = std::gamma_distribution<double>(poor)(random);
  return left + right > 0.0 ? left / (left + right) : prior;
}

double quality_estimates::evidence(key const& key, base::monotonic_time now) const {
  auto const known = counts_of(key, now);
  return known.good + known.poor;
}

quality_estimates::counts quality_estimates::counts_of(key const& key,
                                                       base::monotonic_time now) const {
  auto const it = m_counts.find(key);
  if (it == m_counts.end()) {
    return {.at = now};
  }
  auto const age = std::chrono::duration<double>(now - it->second.at);
  auto const half_life = std::chrono::duration<double>(m_options.half_life);
  double const kept = std::exp2(-age / half_life);
  return {.good = it->second.good * kept, .poor = it->second.poor * kept, .at = now};
}

} // namespace catkinlanding::routing
