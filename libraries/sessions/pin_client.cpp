#include <libraries/sessions/pin_client.h>

#include <algorithm>

namespace catkinlanding::sessions {

void pin_client::submit(session_key const& key, base::version_id const& version,
                        base::monotonic_time now, std::vector<outgoing>& out) {
  auto const it = m_pending.find(key);
  if (it != m_pending.end() && it->second.proposal.version == version) {
    return;
  }
  auto& pending = m_pending[key];
  pending = {.proposal = {.key = key,
                          .version = version,
                          .instance = m_options.self,
                          .incarnation = m_options.incarnation,
                          .number = ++m_last_number},
             .submitted_at = now,
             .resend_at = {}};
  send(pending, now, out);
}

std::optional<base::monotonic_time> pin_client::receive(base::instance_id const& from,
                                                        decision const& decision) {
  auto const it = m_pending.find(decision.key);
  bool const is_awaited = it != m_pending.end() &&
                          it->second.proposal.incarnation == decision.incarnation &&
                          it->second.proposal.number == decision.number;
  if (!is_awaited) {
    return std::nullopt;
  }
  auto const submitted_at = it->second.submitted_at;
  m_pending.erase(it);
  auto const& instances = m_options.control_instances;
  if (auto const leader = std::ranges::find(instances, from); leader != instances.end()) {
    m_target_index = static_cast<std::size_t>(leader - instances.begin());
  }
  return submitted_at;
}

void pin_client::tick(base::monotonic_time now, std::vector<outgoing>& out) {
  std::erase_if(m_pending, [&](auto const& item) {
    return now >= item.second.submitted_at + m_options.timeout;
  });
  bool const needs_resend = std::ranges::any_of(
      m_pending, [&](auto const& item) { return now >= item.second.resend_at; });
  if (needs_resend) {
    ++m_target_index;
  }
  for (auto& [key, pending] : m_pending) {
    if (now >= pending.resend_at) {
      send(pending, now, out);
    }
  }
}

void pin_client::send(pending& pending, base::monotonic_time now,
                      std::vector<outgoing>& out) const {
  pending.resend_at = now + m_options.resend_interval;
  if (m_options.control_instances.empty()) {
    return;
  }
  auto const& target =
      m_options.control_instances[m_target_index % m_options.control_instances.size()];
  out.push_back({target, forwarded_proposal{pending.proposal}});
}

} // namespace catkinlanding::sessions
