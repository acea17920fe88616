#include <libraries/claims/claim_client.h>

#include <algorithm>

namespace catkinlanding::claims {

void claim_client::submit(action action, base::monotonic_time now, std::vector<outgoing>& out) {
  auto const holder = holder_of(action);
  auto& pending = m_pending[holder];
  pending = {.action = std::move(action), .expires_at = now + m_options.timeout, .resend_at = {}};
  send(pending, now, out);
}

bool claim_client::receive(base::instance_id const& from, decision const& decision) {
  auto const it = m_pending.find(decision.holder);
  if (it == m_pending.end() || kind_of(it->second.action) != decision.kind) {
    return false;
  }
  m_pending.erase(it);
  auto const& instances = m_options.control_instances;
  if (auto const leader = std::ranges::find(instances, from); leader != instances.end()) {
    m_target_index = static_cast<std::size_t>(leader - instances.begin());
  }
  return true;
}

void claim_client::tick(base::monotonic_time now, std::vector<outgoing>& out) {
  std::erase_if(m_pending, [&](auto const& item) { return now >= item.second.expires_at; });
  bool const needs_resend = std::ranges::any_of(
      m_pending, [&](auto const& item) { return now >= item.second.resend_at; });
  if (needs_resend) {
    ++m_target_index;
  }
  for (auto& [holder, pending] : m_pending) {
    if (now >= pending.resend_at) {
      send(pending, now, out);
    }
  }
}

void claim_client::send(pending& pending, base::monotonic_time now,
                        std::vector<outgoing>& out) const {
  pending.resend_at = now + m_options.resend_interval;
  if (m_options.control_instances.empty()) {
    return;
  }
  auto const& target =
      m_options.control_instances[m_target_index % m_options.control_instances.size()];
  out.push_back({target, forwarded_action{pending.action}});
}

} // namespace catkinlanding::claims
