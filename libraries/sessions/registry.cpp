#include <libraries/base/verify.h>
#include <libraries/sessions/registry.h>
#include <libraries/sessions/usability.h>

#include <algorithm>

namespace catkinlanding::sessions {

verdict registry::apply(command const& command, catalogue::document const& document) {
  // The clock of a new leader may start before the last command of its predecessor.
  m_clock = std::max(m_clock, command.at);
  expire_old_records();
  auto result = apply(command.proposal, document);
  result.revision = document.revision();
  CATKINLANDING_VERIFY(m_records.size() <= max_pins);
  CATKINLANDING_VERIFY(m_records.size() == m_by_age.size());
  return result;
}

verdict registry::apply(proposal const& proposal, catalogue::document const& document) {
  auto const it = m_records.find(proposal.key);
  bool const is_known = it != m_records.end();
  if (is_known && is_usable(proposal.key, it->second.pin.version, document)) {
    touch(proposal.key, it->second);
    return {.kind = verdict_kind::pinned, .pin = it->second.pin};
  }
  if (!is_usable(proposal.key, proposal.version, document)) {
    return {.kind = verdict_kind::version_unusable};
  }
  if (is_known) {
    repin(it->second, proposal.version);
    touch(proposal.key, it->second);
    return {.kind = verdict_kind::pinned, .pin = it->second.pin};
  }
  if (!has_capacity(proposal.key.customer)) {
    return {.kind = verdict_kind::full};
  }
  grant(proposal);
  return {.kind = verdict_kind::pinned, .pin = m_records.at(proposal.key).pin};
}

bool registry::has_capacity(base::customer_id const& customer) const {
  auto const it = m_by_customer.find(customer);
  auto const customer_pins = it == m_by_customer.end() ? 0 : it->second;
  return m_records.size() < max_pins && customer_pins < max_pins_per_customer;
}

void registry::grant(proposal const& proposal) {
  auto& record = m_records[proposal.key];
  record.pin = {.version = proposal.version, .sequence = ++m_last_sequence, .moved_from = {}};
  ++m_by_customer[proposal.key.customer];
  touch(proposal.key, record);
}

void registry::repin(record& record, base::version_id const& version) {
  // The old version is unusable and the new one is usable, so they differ.
  CATKINLANDING_VERIFY(record.pin.version != version);
  record.pin = {
      .version = version, .sequence = ++m_last_sequence, .moved_from = record.pin.version};
  ++m_moves;
}

void registry::touch(session_key const& key, record& record) {
  m_by_age.erase({record.touched_at, key});
  record.touched_at = m_clock;
  m_by_age.emplace(m_clock, key);
}

void registry::expire_old_records() {
  while (!m_by_age.empty() && m_by_age.begin()->first + retention <= m_clock) {
    auto const oldest = m_by_age.begin();
    auto const customer_pins = m_by_customer.find(oldest->second.customer);
    if (--customer_pins->second == 0) {
      m_by_customer.erase(customer_pins);
    }
    m_records.erase(oldest->second);
    m_by_age.erase(oldest);
  }
}

} // namespace catkinlanding::sessions
