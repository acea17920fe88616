#include <libraries/proxy/endpoint_table.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

/// Time in which rejections are counted.
constexpr std::chrono::seconds rejection_window{1};

} // namespace

void endpoint_table::apply(endpoint_record const& record, std::uint64_t term) {
  auto& known = m_endpoints[record.announcement.id];
  if (known.announcement.number > record.announcement.number) {
    known.confirmed_term = term;
    return;
  }
  bool const is_new_start =
      known.announcement.number.incarnation != record.announcement.number.incarnation;
  if (is_new_start) {
    known.failures = 0;
    known.backoff_until = {};
  }
  known.announcement = record.announcement;
  known.state = record.state;
  known.confirmed_term = term;
}

void endpoint_table::erase_unconfirmed(std::uint64_t term) {
  std::erase_if(m_endpoints, [&](auto const& item) {
    auto const& endpoint = item.second;
    bool const is_unknown = endpoint.confirmed_term != term;
    bool const has_ended = endpoint.state == endpoint_state::gone;
    return (is_unknown || has_ended) && endpoint.own_outstanding == 0;
  });
}

void endpoint_table::apply_loads(std::vector<endpoint_load> const& loads) {
  for (auto& [id, endpoint] : m_endpoints) {
    endpoint.other_outstanding = 0;
    endpoint.other_pending_work = 0;
    endpoint.other_rejections = 0;
  }
  for (auto const& load : loads) {
    auto const found = m_endpoints.find(load.endpoint);
    if (found != m_endpoints.end()) {
      found->second.other_outstanding = load.outstanding;
      found->second.other_pending_work = load.pending_work;
      found->second.other_rejections = load.rejections;
    }
  }
}

std::vector<known_endpoint const*> endpoint_table::ready(base::service_id const& service) const {
  std::vector<known_endpoint const*> found;
  for (auto const& [id, endpoint] : m_endpoints) {
    if (endpoint.state == endpoint_state::ready && endpoint.announcement.service == service) {
      found.push_back(&endpoint);
    }
  }
  return found;
}

known_endpoint const* endpoint_table::find(base::endpoint_id const& id) const {
  auto const found = m_endpoints.find(id);
  return found == m_endpoints.end() ? nullptr : &found->second;
}

std::optional<base::address> endpoint_table::any_ready_address(std::uint64_t random) const {
  std::vector<base::address> addresses;
  for (auto const& [id, endpoint] : m_endpoints) {
    if (endpoint.state == endpoint_state::ready) {
      addresses.push_back(endpoint.announcement.address);
    }
  }
  return addresses.empty() ? std::nullopt : std::optional(addresses[random % addresses.size()]);
}

std::vector<endpoint_load> endpoint_table::own_loads(base::monotonic_time now) {
  std::vector<endpoint_load> loads;
  for (auto& [id, endpoint] : m_endpoints) {
    std::erase_if(endpoint.rejected_at,
                  [&](base::monotonic_time at) { return now >= at + rejection_window; });
    auto const rejections = static_cast<std::uint32_t>(endpoint.rejected_at.size());
    if (endpoint.own_outstanding > 0 || rejections > 0) {
      loads.push_back({.endpoint = id,
                       .outstanding = endpoint.own_outstanding,
                       .pending_work = endpoint.own_pending_work,
                       .rejections = rejections});
    }
  }
  return loads;
}

void endpoint_table::begin_attempt(base::endpoint_id const& id, std::uint64_t pending_work) {
  auto const found = m_endpoints.find(id);
  if (found != m_endpoints.end()) {
    ++found->second.own_outstanding;
    found->second.own_pending_work += pending_work;
  }
}

void endpoint_table::note_prompt_processed(base::endpoint_id const& id,
                                           std::uint64_t pending_work) {
  auto const found = m_endpoints.find(id);
  if (found != m_endpoints.end()) {
    auto& endpoint = found->second;
    endpoint.own_pending_work -= std::min(endpoint.own_pending_work, pending_work);
  }
}

void endpoint_table::end_attempt(base::endpoint_id const& id) {
  auto const found = m_endpoints.find(id);
  if (found != m_endpoints.end() && found->second.own_outstanding > 0) {
    --found->second.own_outstanding;
  }
}

void endpoint_table::note_activity(base::endpoint_id const& id, base::monotonic_time now) {
  auto const found = m_endpoints.find(id);
  if (found != m_endpoints.end()) {
    found->second.last_activity_at = now;
  }
}

void endpoint_table::note_success(base::endpoint_id const& id) {
  auto const found = m_endpoints.find(id);
  if (found != m_endpoints.end()) {
    found->second.failures = 0;
    found->second.backoff_until = {};
  }
}

void endpoint_table::note_failure(base::endpoint_id const& id, base::monotonic_time now) {
  auto const found = m_endpoints.find(id);
  if (found == m_endpoints.end()) {
    return;
  }
  auto& endpoint = found->second;
  constexpr std::uint32_t max_doublings = 8;
  auto const doublings = std::min(endpoint.failures, max_doublings);
  auto const backoff = m_options.min_backoff * (1U << doublings);
  endpoint.backoff_until = now + std::min(backoff, m_options.max_backoff);
  ++endpoint.failures;
}

void endpoint_table::forget_failures() {
  for (auto& [id, endpoint] : m_endpoints) {
    endpoint.failures = 0;
    endpoint.backoff_until = {};
  }
}

void endpoint_table::note_at_capacity(base::endpoint_id const& id, base::monotonic_time now) {
  auto const found = m_endpoints.find(id);
  if (found != m_endpoints.end()) {
    auto& endpoint = found->second;
    endpoint.backoff_until = std::max(endpoint.backoff_until, now + m_options.at_capacity_backoff);
    endpoint.rejected_at.push_back(now);
  }
}

void endpoint_table::note_replaced(base::endpoint_id const& id) {
  auto const found = m_endpoints.find(id);
  if (found != m_endpoints.end()) {
    found->second.state = endpoint_state::gone;
  }
}

} // namespace catkinlanding::proxy
