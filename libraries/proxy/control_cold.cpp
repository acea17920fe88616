#include <libraries/proxy/control.h>

namespace catkinlanding::proxy {

namespace {

/// Bounds the log while many endpoints start: one line for each service in this time.
constexpr std::chrono::seconds cold_log_interval{1};

bool is_known_start(endpoint_record const* record, std::uint64_t incarnation) {
  return record != nullptr && record->state == endpoint_state::ready &&
         record->announcement.number.incarnation == incarnation;
}

} // namespace

void control::await_announcements(base::availability_zone_id const& zone) {
  for (auto const& record : m_registry.changes_since(0)) {
    auto const& announcement = record.announcement;
    if (announcement.zone == zone && record.state == endpoint_state::ready) {
      m_rates.cold().await_announcement(announcement.id, announcement.number.incarnation,
                                        announcement.service);
    }
  }
}

void control::note_cold(endpoint_announcement const& announcement, base::monotonic_time now) {
  m_rates.cold().note(announcement.id, announcement.number.incarnation, announcement.service,
                      announcement.warmup_left, now);
}

void control::read_cold_rates() {
  if (m_options.read_cold_rates) {
    m_rates.cold().use_rates(m_options.read_cold_rates(m_state.source()));
  }
}

void control::update_cold_endpoints(base::monotonic_time now, control_effects& out) {
  m_rates.cold().sweep(now, [&](base::endpoint_id const& id, auto const& cold) {
    return !is_known_start(m_registry.find(id), cold.incarnation);
  });
  if (m_replica.role() == consensus::role::leader) {
    m_rates.use_instances(m_publisher.downstreams().live_entries(now));
    log_cold_endpoints(now, out);
  }
}

void control::log_cold_endpoints(base::monotonic_time now, control_effects& out) {
  if (now < m_cold_logged_at + cold_log_interval) {
    return;
  }
  auto counts = m_rates.cold().count_by_service();
  auto const log = [&](base::service_id const& service, std::size_t count) {
    out.events.push_back({control_event::cold_endpoints_changed, service.value, {}, count});
  };
  for (auto const& [service, count] : counts) {
    auto const logged = m_cold_logged.find(service);
    if (logged == m_cold_logged.end() || logged->second != count) {
      log(service, count);
    }
  }
  for (auto const& [service, count] : m_cold_logged) {
    if (!counts.contains(service)) {
      log(service, 0);
    }
  }
  m_cold_logged = std::move(counts);
  m_cold_logged_at = now;
}

void control::withhold_cold(last_known_state& state, base::monotonic_time now) const {
  auto endpoints = state.endpoints.elements();
  std::erase_if(endpoints, [&](endpoint_record const& record) {
    auto const& announcement = record.announcement;
    return m_rates.cold()
        .rate_of(announcement.id, announcement.number.incarnation, now)
        .has_value();
  });
  state.endpoints = std::move(endpoints);
}

} // namespace catkinlanding::proxy
