#include <libraries/relays/proof.h>
#include <services/proxy/clock.h>
#include <services/proxy/exchange.h>
#include <services/proxy/relay_header.h>
#include <services/proxy/request_log.h>

namespace catkinlanding::proxy {

void exchange::take_relay_headers(request_facts& facts) {
  auto const attempts_before = take_relay_header(m_request.base());
  auto const endings_before = take_endings_header(m_request.base());
  auto const proof = take_proof_header(m_request.base());
  m_is_relayed = attempts_before.has_value();
  // Anybody may say that it was passed on, as that only restricts what is done with it.
  facts.is_relayed = m_is_relayed;
  facts.attempts_before = attempts_before.value_or(0);
  if (!m_is_relayed) {
    return;
  }
  facts.is_relay_proven = proof && relays::is_proof(*proof, m_context.router.relay_secret(),
                                                    {.request_id = facts.id.value,
                                                     .attempts = *attempts_before,
                                                     .endings = endings_before.value_or(0)});
  if (!facts.is_relay_proven) {
    request_log::relay_unproven(facts.id);
  } else if (endings_before) {
    facts.endings_before = *endings_before;
    m_tally_before = relay_tally{.attempts = *attempts_before, .endings = *endings_before};
  }
}

void exchange::complete_header(http_response_header& header) {
  erase_tally(header);
  if (m_tally_before) {
    set_tally(header, m_context.router.hand_over(m_number));
  }
}

void exchange::add_tally(http_response_header& header) const {
  if (m_tally_before) {
    auto const* active = m_context.router.find(m_number);
    set_tally(header, active != nullptr ? active->tally() : *m_tally_before);
  }
}

void exchange::take_notices(upstream_request const& answered) {
  if (answered.tally()) {
    m_context.router.note_relay_tally(m_number, *answered.tally());
  }
  auto const* attempt = answered.attempt();
  auto const& metadata = answered.metadata();
  if (attempt == nullptr || !metadata || metadata->is_wrong_endpoint) {
    return;
  }
  for (auto const kind : metadata->unreadable_notices) {
    m_context.metrics.count_notice("unreadable");
    request_log::notice_ignored(m_id, *attempt, kind);
  }
  for (auto const& change :
       m_context.router.note_notice(m_number, metadata->notice, now(), attempt->endpoint)) {
    m_context.metrics.count_notice(name_of(change.kind));
    request_log::notice_taken(m_id, *attempt, change);
  }
}

} // namespace catkinlanding::proxy
