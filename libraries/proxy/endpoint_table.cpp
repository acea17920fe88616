#include <libraries/proxy/endpoint_table.h>

#include <algorithm>

namespace catkinlanding::proxy {

void endpoint_table::take(endpoint_record const& record, std::uint64_t term) {
  auto& known = m_endpoints[record.word.id];
  if (known.word.number > record.word.number) {
    known.confirmed_term = term;
    return;
  }
  bool const is_new_start = known.word.number.incarnation != record.word.number.incarnation;
  if (is_new_start) {
    known.failures = 0;
    known.avoided_until = {};
  }
  known.word = record.word;
  known.state = record.state;
  known.confirmed_term = term;
}

void endpoint_table::keep_confirmed(std::uint64_t term) {
  std::erase_if(m_endpoints, [&](auto const& item) {
    auto const& endpoint = item.second;
    bool const is_unknown = endpoint.confirmed_term != term;
    bool const has_ended = endpoint.state == endpoint_state::gone;
    return (is_unknown || has_ended) && endpoint.own_outstanding == 0;
  });
}

void endpoint_table::take_loads(std::vector<endpoint_load> const& loads) {
  for (auto& [id, endpoint] : m_endpoints) {
    endpoint.other_outstanding = 0;
    endpoint.other_unread = 0;
  }
  for (auto const& load : loads) {
    auto const found = m_endpoints.find(load.endpoint);
    if (found != m_endpoints.end()) {
      found->second.other_outstanding = load.outstanding;
      found->second.other_unread = load.unread;
    }
  }
}

std::vector<known_endpoint const*> endpoint_table::ready(base::service_id const& service) const {
  std::vector<known_endpoint const*> found;
  for (auto const& [id, endpoint] : m_endpoints) {
    if (endpoint.state == endpoint_state::ready && endpoint.word.service == service) {
      found.push_back(&endpoint);
    }
  }
  return found;
}

known_endpoint const* endpoint_table::find(base::endpoint_id const& id) const {
  auto const found = m_endpoints.find(id);
  return found == m_endpoints.end() ? nullptr : &found->second;
}

std::vector<endpoint_load> endpoint_table::own_loads() const {
  std::vector<endpoint_load> loads;
  for (auto const& [id, endpoint] : m_endpoints) {
    if (endpoint.own_outstanding > 0) {
      loads.push_back({id, endpoint.own_outstanding, endpoint.own_unread});
    }
  }
  return loads;
}

void endpoint_table::begin_attempt(base::endpoint_id const& id, std::uint64_t unread) {
  auto const found = m_endpoints.find(id);
  if (found != m_endpoints.end()) {
    ++found->second.own_outstanding;
    found->second.own_unread += unread;
  }
}

void endpoint_table::note_read(base::endpoint_id const& id, std::uint64_t unread) {
  auto const found = m_endpoints.find(id);
  if (found != m_endpoints.end()) {
    auto& endpoint = found->second;
    endpoint.own_unread -= std::min(endpoint.own_unread, unread);
  }
}

void endpoint_table::end_attempt(base::endpoint_id const& id) {
  auto const found = m_endpoints.find(id);
  if (found != m_endpoints.end() && found->second.own_outstanding > 0) {
    --found->second.own_outstanding;
  }
}

void endpoint_table::note_heard(base::endpoint_id const& id, base::monotonic_time now) {
  auto const found = m_endpoints.find(id);
  if (found != m_endpoints.end()) {
    found->second.heard_at = now;
  }
}

void endpoint_table::note_success(base::endpoint_id const& id) {
  auto const found = m_endpoints.find(id);
  if (found != m_endpoints.end()) {
    found->second.failures = 0;
    found->second.avoided_until = {};
  }
}

void endpoint_table::note_failure(base::endpoint_id const& id, base::monotonic_time now) {
  auto const found = m_endpoints.find(id);
  if (found == m_endpoints.end()) {
    return;
  }
  auto& endpoint = found->second;
  constexpr std::uint32_t most_doublings = 8;
  auto const doublings = std::min(endpoint.failures, most_doublings);
  auto const avoidance = m_options.shortest_avoidance * (1U << doublings);
  endpoint.avoided_until = now + std::min(avoidance, m_options.longest_avoidance);
  ++endpoint.failures;
}

void endpoint_table::note_full(base::endpoint_id const& id, base::monotonic_time now) {
  auto const found = m_endpoints.find(id);
  if (found != m_endpoints.end()) {
    auto& endpoint = found->second;
    endpoint.avoided_until = std::max(endpoint.avoided_until, now + m_options.full_avoidance);
  }
}

void endpoint_table::note_replaced(base::endpoint_id const& id) {
  auto const found = m_endpoints.find(id);
  if (found != m_endpoints.end()) {
    found->second.state = endpoint_state::gone;
  }
}

} // namespace catkinlanding::proxy
