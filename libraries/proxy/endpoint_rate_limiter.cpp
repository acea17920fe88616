#include <libraries/proxy/endpoint_rate_limiter.h>

#include <algorithm>
#include <limits>
#include <tuple>

namespace catkinlanding::proxy {

namespace {

/// Fraction of its equal part of a rate that an instance without a leader uses, since it does not
/// know what the others send.
constexpr double isolated_share = 0.5;
/// Least distance between its requests, as a fraction of the mean distance. The rest is random.
constexpr double min_isolated_distance = 0.5;

base::duration interval_at(double rate) {
  return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(1.0 / rate));
}

} // namespace

endpoint_rate_limiter::change endpoint_rate_limiter::note_answer(endpoint_incarnation const& source,
                                                                 std::optional<double> rate,
                                                                 base::monotonic_time sent_at,
                                                                 base::monotonic_time now) {
  auto const found = m_limits.find(source);
  if (!rate) {
    bool const is_end = found != m_limits.end() && sent_at > found->second.learned_at &&
                        (!found->second.stated_at || sent_at > *found->second.stated_at);
    if (!is_end) {
      return change::none;
    }
    auto& known = found->second;
    bool const was_stated = known.stated_rate.has_value() || !known.stated_at;
    known.stated_rate.reset();
    known.stated_at = now;
    return was_stated ? change::lifted : change::none;
  }
  auto& known = limit_for(source, now);
  bool const is_new = known.stated_rate != rate;
  known.stated_rate = rate;
  known.stated_at = now;
  return is_new ? change::limited : change::none;
}

void endpoint_rate_limiter::apply(std::vector<rate_grant> const& grants, base::monotonic_time now) {
  m_granted_at = now;
  std::map<endpoint_incarnation, rate_grant> granted;
  for (auto const& grant : grants) {
    granted[grant.source] = grant;
    std::ignore = limit_for(grant.source, now);
  }
  for (auto& [source, known] : m_limits) {
    bool const had_share = known.grant && known.grant->share > 0.0;
    auto const grant = granted.find(source);
    known.grant = grant == granted.end() ? std::nullopt : std::optional(grant->second);
    // Instances that take over a rate must not all send at once, on top of the former ones.
    bool const has_share = known.grant && known.grant->share > 0.0;
    if (has_share && !had_share) {
      known.last_sent_at = now;
    }
  }
}

base::monotonic_time endpoint_rate_limiter::next_send_at(endpoint_incarnation const& source,
                                                         bool is_connected,
                                                         base::monotonic_time now) const {
  auto const found = m_limits.find(source);
  if (found == m_limits.end()) {
    return now;
  }
  auto const& known = found->second;
  if (is_connected && known.grant) {
    return next_with_grant(known);
  }
  if (is_connected) {
    return awaits_grant(known, now) ? base::monotonic_time::max() : now;
  }
  return is_limited_without_leader(known, now) ? next_without_leader(known) : now;
}

base::monotonic_time endpoint_rate_limiter::next_with_grant(limit const& known) const {
  auto const share = known.grant->share;
  return share > 0.0 ? known.last_sent_at + interval_at(share) : base::monotonic_time::max();
}

base::monotonic_time endpoint_rate_limiter::next_without_leader(limit const& known) const {
  auto const interval = interval_at(isolated_rate(known));
  auto const part_of_interval = [&](double part) {
    return std::chrono::duration_cast<base::duration>(interval * part);
  };
  return std::max(known.last_sent_at + part_of_interval(min_isolated_distance + known.phase),
                  m_granted_at + m_options.contact_timeout + part_of_interval(known.phase));
}

double endpoint_rate_limiter::isolated_rate(limit const& known) const {
  auto const stated = known.stated_rate.value_or(std::numeric_limits<double>::infinity());
  // A cold endpoint may be granted less than it states.
  auto const rate = known.grant ? std::min(stated, known.grant->rate) : stated;
  return std::max(rate, m_options.min_rate) * isolated_share / m_instances;
}

bool endpoint_rate_limiter::is_limited_without_leader(limit const& known,
                                                      base::monotonic_time now) const {
  bool const has_answered_without_rate = known.stated_at && !known.stated_rate;
  bool const is_grant_old = now >= m_granted_at + m_options.notice_lifetime;
  return known.stated_rate || (known.grant && !(has_answered_without_rate && is_grant_old));
}

base::duration endpoint_rate_limiter::spacing(endpoint_incarnation const& source, bool is_connected,
                                              base::monotonic_time now) const {
  auto const found = m_limits.find(source);
  if (found == m_limits.end()) {
    return {};
  }
  auto const& known = found->second;
  if (is_connected) {
    bool const has_share = known.grant && known.grant->share > 0.0;
    return has_share ? interval_at(known.grant->share) : base::duration::zero();
  }
  return is_limited_without_leader(known, now) ? interval_at(isolated_rate(known))
                                               : base::duration::zero();
}

std::optional<base::monotonic_time>
endpoint_rate_limiter::learned_at(endpoint_incarnation const& source) const {
  auto const found = m_limits.find(source);
  return found == m_limits.end() ? std::nullopt : std::optional(found->second.learned_at);
}

void endpoint_rate_limiter::note_sent(endpoint_incarnation const& source,
                                      base::monotonic_time now) {
  auto const found = m_limits.find(source);
  if (found != m_limits.end()) {
    found->second.last_sent_at = now;
    found->second.phase = random_phase();
  }
}

std::vector<rate_notice> endpoint_rate_limiter::notices(base::monotonic_time now) const {
  std::vector<rate_notice> notices;
  for (auto const& [source, known] : m_limits) {
    if (known.stated_at) {
      notices.push_back(
          {.source = source, .rate = known.stated_rate, .age = now - *known.stated_at});
    }
  }
  return notices;
}

bool endpoint_rate_limiter::awaits_grant(endpoint_incarnation const& source,
                                         base::monotonic_time now) const {
  auto const found = m_limits.find(source);
  return found != m_limits.end() && awaits_grant(found->second, now);
}

bool endpoint_rate_limiter::awaits_grant(base::monotonic_time now) const {
  return std::ranges::any_of(m_limits,
                             [&](auto const& item) { return awaits_grant(item.second, now); });
}

void endpoint_rate_limiter::sweep(base::monotonic_time now) {
  std::erase_if(m_limits, [&](auto const& item) {
    auto const& known = item.second;
    auto const lifetime =
        known.stated_rate ? m_options.notice_lifetime : m_options.notice_precedence;
    return !known.grant && now >= known.stated_at.value_or(known.learned_at) + lifetime;
  });
}

double endpoint_rate_limiter::random_phase() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
}

bool endpoint_rate_limiter::awaits_grant(limit const& known, base::monotonic_time now) const {
  return known.stated_rate && !known.grant && now < *known.stated_at + m_options.notice_precedence;
}

endpoint_rate_limiter::limit& endpoint_rate_limiter::limit_for(endpoint_incarnation const& source,
                                                               base::monotonic_time now) {
  auto const [entry, is_new] = m_limits.try_emplace(source);
  if (is_new) {
    entry->second.learned_at = now;
    entry->second.last_sent_at = now;
    entry->second.phase = random_phase();
  }
  return entry->second;
}

} // namespace catkinlanding::proxy
