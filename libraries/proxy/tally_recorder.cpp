#include <libraries/proxy/tally_recorder.h>

#include <algorithm>
#include <iterator>

namespace catkinlanding::proxy {

namespace {

/// Number of events after the first ones by which the pace of a stream is measured.
constexpr std::size_t min_timed_events = 3;

} // namespace

std::optional<base::duration> stream_pace::note_events(std::size_t count,
                                                       base::monotonic_time now) {
  if (count == 0 || m_is_counted) {
    return std::nullopt;
  }
  if (!m_first_at) {
    m_first_at = now;
    return std::nullopt;
  }
  m_later_events += count;
  if (m_later_events < min_timed_events) {
    return std::nullopt;
  }
  m_is_counted = true;
  return (now - *m_first_at) / static_cast<base::duration::rep>(m_later_events);
}

void tally_recorder::keep_only(base::service_id const& service, rollout const* evaluated) {
  std::erase_if(m_tallies, [&](version_tally const& tally) {
    return tally.service == service && (evaluated == nullptr || evaluated->number != tally.rollout);
  });
}

void tally_recorder::add_answer(subject const& subject, rollout const& evaluated,
                                base::duration first_byte) {
  auto& statistics = statistics_for(subject, evaluated);
  ++statistics.answers;
  statistics.first_byte.add(first_byte);
}

void tally_recorder::add_failure(subject const& subject, rollout const& evaluated,
                                 bool was_counted) {
  auto& statistics = statistics_for(subject, evaluated);
  ++statistics.bad;
  statistics.answers += was_counted ? 0 : 1;
}

void tally_recorder::add_event_interval(subject const& subject, rollout const& evaluated,
                                        base::duration interval) {
  statistics_for(subject, evaluated).event_interval.add(interval);
}

answer_statistics& tally_recorder::statistics_for(subject const& subject,
                                                  rollout const& evaluated) {
  auto const found = std::ranges::find_if(m_tallies, [&](version_tally const& one) {
    return one.service == subject.service && one.version == subject.version &&
           one.route == subject.route;
  });
  if (found != m_tallies.end()) {
    return found->statistics;
  }
  m_tallies.push_back({.service = subject.service,
                       .version = subject.version,
                       .rollout = evaluated.number,
                       .route = subject.route,
                       .statistics = {}});
  return m_tallies.back().statistics;
}

} // namespace catkinlanding::proxy
