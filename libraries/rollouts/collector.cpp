#include <libraries/rollouts/collector.h>

#include <algorithm>

namespace catkinlanding::rollouts {

namespace {

std::uint64_t excess(std::uint64_t after, std::uint64_t before) {
  return after > before ? after - before : 0;
}

bool is_same_stream(report_stamp const& left, report_stamp const& right) {
  return left.incarnation == right.incarnation && left.stream == right.stream;
}

} // namespace

tally difference(tally const& after, tally const& before) {
  return {.answers = excess(after.answers, before.answers),
          .bad = excess(after.bad, before.bad),
          .rated = excess(after.rated, before.rated),
          .poor = excess(after.poor, before.poor)};
}

void collector::receive(base::instance_id const& from, report const& report,
                        base::monotonic_time now) {
  auto known = m_senders.find(from);
  if (known != m_senders.end() && report.stamp <= known->second.stamp) {
    return;
  }
  if (known == m_senders.end()) {
    evict_oldest_sender();
    known = m_senders.emplace(from, sender{}).first;
  } else if (is_same_stream(report.stamp, known->second.stamp)) {
    add(known->second.counts, report.counts);
  }
  known->second = {.stamp = report.stamp, .counts = report.counts, .last_report = now};
}

tally collector::total(version_key const& key) const {
  auto const it = m_totals.find(key);
  return it == m_totals.end() ? tally{} : it->second;
}

void collector::add(tallies const& before, tallies const& after) {
  for (auto const& [key, counts] : after) {
    auto const old = before.find(key);
    bool const is_new = !m_totals.contains(key);
    if (old == before.end() || (is_new && m_totals.size() >= m_options.max_versions)) {
      continue;
    }
    auto const increase = difference(counts, old->second);
    auto& total = m_totals[key];
    total.answers += increase.answers;
    total.bad += increase.bad;
    total.rated += increase.rated;
    total.poor += increase.poor;
  }
}

void collector::evict_oldest_sender() {
  if (m_senders.size() < m_options.max_senders) {
    return;
  }
  m_senders.erase(std::ranges::min_element(
      m_senders, {}, [](auto const& item) { return item.second.last_report; }));
}

} // namespace catkinlanding::rollouts
