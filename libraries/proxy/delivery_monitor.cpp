#include <libraries/proxy/delivery_monitor.h>

namespace catkinlanding::proxy {

void delivery_monitor::note_sent(known_state const& state, base::monotonic_time now) {
  m_document.note_sent(state.document_revision, now);
  m_rollouts.note_sent(state.rollouts_revision, now);
  enter_term(state.registry_term);
  if (state.registry_term == m_registry_term) {
    m_registry.note_sent(state.registry_revision, now);
  }
}

void delivery_monitor::note_known(known_state const& known) {
  m_document.note_known(known.document_revision);
  m_rollouts.note_known(known.rollouts_revision);
  enter_term(known.registry_term);
  if (known.registry_term == m_registry_term) {
    m_registry.note_known(known.registry_revision);
  }
}

void delivery_monitor::enter_term(std::uint64_t term) {
  if (term > m_registry_term) {
    m_registry_term = term;
    m_registry = {};
  }
}

bool delivery_monitor::try_take_loss(base::monotonic_time now) {
  bool const is_lost = m_document.is_overdue(m_options.timeout, now) ||
                       m_registry.is_overdue(m_options.timeout, now) ||
                       m_rollouts.is_overdue(m_options.timeout, now);
  if (is_lost) {
    reset();
  }
  return is_lost;
}

void delivery_monitor::reset() {
  m_document.reset();
  m_registry.reset();
  m_rollouts.reset();
}

void delivery_monitor::revision::note_sent(std::uint64_t number, base::monotonic_time now) {
  auto const latest = m_last ? m_last->number : m_known;
  if (number <= latest) {
    return;
  }
  m_last = sent_number{.number = number, .sent_at = now};
  if (!m_first) {
    m_first = m_last;
  }
}

void delivery_monitor::revision::note_known(std::uint64_t number) {
  m_known = number;
  if (m_first && m_first->number <= number) {
    m_first = m_last;
  }
  if (m_last && m_last->number <= number) {
    reset();
  }
}

bool delivery_monitor::revision::is_overdue(base::duration timeout,
                                            base::monotonic_time now) const {
  return m_first && now >= m_first->sent_at + timeout;
}

void delivery_monitor::revision::reset() {
  m_first.reset();
  m_last.reset();
}

} // namespace catkinlanding::proxy
