#include <libraries/proxy/endpoint_notices.h>

#include <algorithm>

namespace catkinlanding::proxy {

std::vector<notice_change> endpoint_notices::note(endpoint_incarnation const& source,
                                                  endpoint_notice const& notice,
                                                  base::monotonic_time sent_at,
                                                  base::monotonic_time now) {
  std::vector<notice_change> changes;
  if (notice.is_leaving && m_pauses.note_leaving(source, now)) {
    changes.push_back({.kind = notice_kind::leaving});
  }
  if (notice.pause && m_pauses.note_pause(source, *notice.pause, now)) {
    changes.push_back({.kind = notice_kind::paused, .pause = notice.pause});
  }
  if (!notice.rate && !notice.is_rate_known) {
    return changes;
  }
  switch (m_rates.note_answer(source, notice.rate, sent_at, now)) {
  case endpoint_rate_limiter::change::none:
    break;
  case endpoint_rate_limiter::change::limited:
    changes.push_back({.kind = notice_kind::rate_limited, .rate = notice.rate});
    break;
  case endpoint_rate_limiter::change::lifted:
    changes.push_back({.kind = notice_kind::rate_unlimited});
    break;
  }
  return changes;
}

std::vector<known_endpoint const*>
endpoint_notices::without_leaving(std::vector<known_endpoint const*> endpoints) const {
  std::erase_if(endpoints,
                [&](known_endpoint const* one) { return is_leaving(one->incarnation()); });
  return endpoints;
}

std::optional<deferral> endpoint_notices::wait_for(endpoint_incarnation const& source,
                                                   bool is_connected,
                                                   base::monotonic_time now) const {
  std::optional<deferral> found;
  auto const next_by_rate = m_rates.next_send_at(source, is_connected, now);
  if (next_by_rate > now) {
    auto wait = next_by_rate - now;
    if (next_by_rate == base::monotonic_time::max()) {
      wait = m_rates.awaits_grant(source, now) ? m_options.news_interval : deferral::unlimited;
    }
    found = deferral{.source = source,
                     .kind = notice_kind::rate_limited,
                     .wait = wait,
                     .spacing = m_rates.spacing(source, is_connected, now),
                     .age = now - m_rates.learned_at(source).value_or(now)};
  }
  auto const pause = m_pauses.pause_of(source, now);
  if (pause && (!found || pause->until - now > found->wait)) {
    found = deferral{.source = source,
                     .kind = notice_kind::paused,
                     .wait = pause->until - now,
                     .age = now - pause->stated_at};
  }
  return found;
}

std::vector<endpoint_incarnation>
endpoint_notices::unknown_leaving(endpoint_table const& endpoints) const {
  auto sources = m_pauses.leaving();
  std::erase_if(sources, [&](endpoint_incarnation const& source) {
    auto const* known = endpoints.find(source.endpoint);
    return known == nullptr || known->incarnation() != source ||
           known->state != endpoint_state::ready;
  });
  return sources;
}

void endpoint_notices::sweep(endpoint_table const& endpoints, base::monotonic_time now) {
  m_rates.sweep(now);
  m_pauses.sweep(endpoints, now);
}

} // namespace catkinlanding::proxy
