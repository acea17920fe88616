#include <libraries/rollouts/exchange.h>

namespace catkinlanding::rollouts {

namespace {

/// The counts of the watched versions, zero for those without any.
tallies select_counts(std::vector<version_key> const& watched, tallies const& from) {
  tallies picked;
  for (auto const& key : watched) {
    auto const it = from.find(key);
    picked.emplace(key, it == from.end() ? tally{} : it->second);
  }
  return picked;
}

} // namespace

exchange::exchange(options options)
    : m_options(std::move(options)),
      m_own_reports({.scope = report_scope::instance, .incarnation = m_options.incarnation}),
      m_zone_reports({.scope = report_scope::zone, .incarnation = m_options.incarnation}) {}

void exchange::tick(std::vector<version_key> const& watched, tallies const& own,
                    receivers const& receivers, base::monotonic_time now, effects& out) {
  if (watched.empty()) {
    return;
  }
  if (m_own_reports.is_due(receivers.control, now)) {
    send(receivers.control, m_own_reports.next(receivers.control, select_counts(watched, own), now),
         now, out);
  }
  if (m_options.is_control && m_zone_reports.is_due(receivers.leader, now)) {
    auto counts = select_counts(watched, m_zone.totals());
    send(receivers.leader, m_zone_reports.next(receivers.leader, std::move(counts), now), now, out);
  }
}

void exchange::receive(base::instance_id const& from, report const& report,
                       base::monotonic_time now) {
  if (!m_options.is_control) {
    return;
  }
  auto& collector = report.scope == report_scope::instance ? m_zone : m_deployment;
  collector.receive(from, report, now);
}

void exchange::send(base::instance_id const& to, report report, base::monotonic_time now,
                    effects& out) {
  if (to == m_options.self) {
    receive(to, report, now);
    return;
  }
  out.push_back({to, std::move(report)});
}

} // namespace catkinlanding::rollouts
