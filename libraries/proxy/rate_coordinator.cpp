#include <libraries/proxy/rate_coordinator.h>

#include <algorithm>

namespace catkinlanding::proxy {

void rate_coordinator::begin_term(base::monotonic_time now) {
  m_granting_from = now + m_options.handover_time;
  for (auto& [endpoint, known] : m_rates) {
    known.holders.clear();
  }
  m_cold_shares.clear();
}

void rate_coordinator::report(base::instance_id const& from,
                              std::vector<rate_notice> const& notices, base::monotonic_time now) {
  for (auto const& notice : notices) {
    take(from, notice, now);
  }
}

void rate_coordinator::take(base::instance_id const& from, rate_notice const& notice,
                            base::monotonic_time now) {
  auto const stated_at = now - std::max(notice.age, base::duration::zero());
  auto const [entry, is_new] = m_rates.try_emplace(notice.source.endpoint);
  auto& known = entry->second;
  if (!is_new && notice.source.incarnation < known.incarnation) {
    return;
  }
  if (is_new || notice.source.incarnation > known.incarnation) {
    known = {.incarnation = notice.source.incarnation,
             .rate = notice.rate,
             .stated_at = stated_at,
             .holders = {}};
  } else if (stated_at > known.stated_at) {
    known.rate = notice.rate;
    known.stated_at = stated_at;
  }
  auto& holders = known.holders;
  if (!known.rate) {
    holders.clear();
    return;
  }
  bool const is_holder = std::ranges::find(holders, from) != holders.end();
  if (notice.rate && !is_holder) {
    holders.push_back(from);
  }
  holders.resize(std::min(holders.size(), max_holders(*known.rate)));
}

void rate_coordinator::release(base::instance_id const& instance) {
  for (auto& [endpoint, known] : m_rates) {
    std::erase(known.holders, instance);
  }
}

std::vector<rate_grant> rate_coordinator::grants_for(base::instance_id const& instance,
                                                     base::monotonic_time now) {
  std::vector<rate_grant> grants;
  bool const is_granting = now >= m_granting_from;
  for (auto const& [endpoint, known] : m_cold.all()) {
    endpoint_incarnation const source{endpoint, known.incarnation};
    if (auto const rate = cold_rate(source, now)) {
      auto const held = is_granting ? m_cold_shares.grant(endpoint, instance, now) : 0;
      auto const part = static_cast<double>(held) / warmup::share_holders::shares;
      grants.push_back(
          {.source = source, .rate = *rate, .share = std::max(*rate, m_options.min_rate) * part});
    }
  }
  for (auto const& [endpoint, known] : m_rates) {
    endpoint_incarnation const source{endpoint, known.incarnation};
    if (!known.rate || cold_rate(source, now)) {
      continue;
    }
    bool const is_holder = std::ranges::find(known.holders, instance) != known.holders.end();
    auto const rate = std::max(*known.rate, m_options.min_rate);
    auto const share =
        is_holder && is_granting ? rate / static_cast<double>(known.holders.size()) : 0.0;
    grants.push_back({.source = source, .rate = *known.rate, .share = share});
  }
  return grants;
}

void rate_coordinator::tick(base::monotonic_time now) {
  std::erase_if(m_rates, [&](auto const& item) {
    return now >= item.second.stated_at + m_options.notice_lifetime;
  });
  m_cold_shares.sweep(now);
}

std::optional<double> rate_coordinator::cold_rate(endpoint_incarnation const& source,
                                                  base::monotonic_time now) const {
  auto const rate = m_cold.rate_of(source.endpoint, source.incarnation, now);
  auto const stated = m_rates.find(source.endpoint);
  bool const states_rate = stated != m_rates.end() &&
                           stated->second.incarnation == source.incarnation && stated->second.rate;
  return rate && states_rate ? std::min(*rate, *stated->second.rate) : rate;
}

std::size_t rate_coordinator::max_holders(double rate) const {
  constexpr double max_extra_holders = 1000.0;
  return m_options.min_holders + static_cast<std::size_t>(std::clamp(rate, 0.0, max_extra_holders));
}

} // namespace catkinlanding::proxy
