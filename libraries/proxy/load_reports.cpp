#include <libraries/proxy/load_reports.h>

#include <algorithm>
#include <utility>

namespace catkinlanding::proxy {

namespace {

/// What is left of a total. Totals that another instance got wrong don't wrap around.
endpoint_load difference(endpoint_load const& total, endpoint_load const& own) {
  return {.endpoint = total.endpoint,
          .outstanding = total.outstanding - std::min(total.outstanding, own.outstanding),
          .pending_work = total.pending_work - std::min(total.pending_work, own.pending_work),
          .rejections = total.rejections - std::min(total.rejections, own.rejections)};
}

} // namespace

load_reports::report const& load_reports::add(std::vector<endpoint_load> loads,
                                              base::monotonic_time now) {
  if (m_reports.size() >= max_reports) {
    m_reports.pop_front();
  }
  return m_reports.emplace_back(
      report{.number = ++m_last_number, .loads = std::move(loads), .sent_at = now});
}

std::vector<endpoint_load> load_reports::others_in(load_summary const& summary) const {
  auto const counted = std::ranges::find(m_reports, summary.counted_report, &report::number);
  auto loads = summary.totals.elements();
  if (counted == m_reports.end()) {
    return loads;
  }
  for (auto& load : loads) {
    auto const own =
        std::ranges::lower_bound(counted->loads, load.endpoint, {}, &endpoint_load::endpoint);
    if (own != counted->loads.end() && own->endpoint == load.endpoint) {
      load = difference(load, *own);
    }
  }
  return loads;
}

std::optional<base::monotonic_time> load_reports::counted_since(load_summary const& summary) const {
  auto const counted = std::ranges::find(m_reports, summary.counted_report, &report::number);
  return counted == m_reports.end() ? std::nullopt : std::optional(counted->sent_at);
}

} // namespace catkinlanding::proxy
