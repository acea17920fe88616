#include <libraries/base/overloaded.h>
#include <libraries/proxy/router.h>

#include <algorithm>
#include <utility>

namespace catkinlanding::proxy {

document_status router::status_of_document(base::monotonic_time now) const {
  return {.revision = m_routes->revision(),
          .fingerprint = m_routes->fingerprint(),
          .age = m_document_since ? std::optional<base::duration>(now - *m_document_since)
                                  : std::nullopt,
          .leader_age = m_subscriber.age(now)};
}

std::vector<outgoing> router::tick(base::monotonic_time now) {
  m_started_at = m_started_at.value_or(now);
  m_notices.sweep(m_endpoints, now);
  m_quarantine.sweep(now);
  m_overload.sweep(now);
  bool const is_urgent = m_versions.has_promoted_rollout() || m_notices.rates().awaits_grant(now) ||
                         m_quarantine.has_news() || m_overload.is_contended(now);
  auto const upstream = m_subscriber.tick(now, is_urgent);
  auto messages = request_document(now);
  if (upstream) {
    messages.push_back(make_subscription(*upstream, now));
  }
  return messages;
}

std::vector<outgoing> router::request_document(base::monotonic_time now) {
  auto const& leader = m_subscriber.leader();
  auto const request = leader ? m_document_receiver.request_due(now) : std::nullopt;
  return request ? std::vector{outgoing{*leader, *request}} : std::vector<outgoing>{};
}

outgoing router::make_subscription(base::instance_id const& upstream, base::monotonic_time now) {
  m_quarantine.note_reported();
  auto const& reported = m_reports.add(m_endpoints.own_loads(now), now);
  return {upstream,
          subscription{.known = m_subscriber.known(),
                       .is_entry = true,
                       .tallies = m_observer.tallies(),
                       .loads = reported.loads,
                       .report = reported.number,
                       .rate_notices = m_notices.rates().notices(now),
                       .leaving_endpoints = m_notices.unknown_leaving(m_endpoints),
                       .evidence = m_quarantine.report(now),
                       .is_cut_off = is_cut_off(),
                       .rejection_limits = m_overload.limits().all(now)},
          m_subscriber.lacks_reply()};
}

router::receive_result router::receive(base::instance_id const& from, message const& message,
                                       base::monotonic_time now) {
  receive_result result;
  std::visit(base::overloaded{
                 [&](update const& one) {
                   result.is_outdated = m_subscriber.is_outdated(one);
                   result.is_changed = apply_document(one, now);
                   if (!result.is_outdated) {
                     m_subscriber.note_update(one, from, now);
                     result.is_changed |= apply(one, now);
                   }
                   result.messages = request_document(now);
                   if (!result.is_outdated && one.has_departure()) {
                     result.messages.push_back({from, confirmation{m_subscriber.known()}});
                   }
                 },
                 [&](document_part const& one) {
                   auto const received = m_document_receiver.add(one);
                   result.is_changed = received && apply(*received, now);
                   result.messages = request_document(now);
                 },
                 [&](referral const& one) {
                   if (auto const upstream = m_subscriber.follow(one, from, now)) {
                     result.messages.push_back(make_subscription(*upstream, now));
                   }
                 },
                 [&](last_known_state const& one) { result.is_changed = apply(one, now); },
                 [](auto const&) {},
             },
             message);
  return result;
}

bool router::apply(last_known_state const& state, base::monotonic_time now) {
  bool const is_isolated = m_started_at && now >= *m_started_at + m_options.isolation_timeout;
  if (is_ready() || !is_isolated) {
    return false;
  }
  m_routes = std::make_shared<route_table const>(state.document);
  m_document_since = now;
  m_subscriber.note_document(state.document.revision);
  constexpr std::uint64_t no_term = 0;
  for (auto const& record : state.endpoints) {
    m_endpoints.apply(record, no_term);
  }
  m_versions.apply(state.rollouts);
  return true;
}

bool router::apply(document const& document, base::monotonic_time now) {
  if (document.revision <= m_routes->revision()) {
    return false;
  }
  m_routes = std::make_shared<route_table const>(document);
  m_document_since = now;
  m_attempts.keep_only(*m_routes);
  m_subscriber.note_document(document.revision);
  m_document_receiver.note_held(document.revision);
  return true;
}

bool router::apply_document(update const& update, base::monotonic_time now) {
  bool const is_changed = update.document && apply(*update.document, now);
  if (update.offered_document > m_routes->revision()) {
    m_document_receiver.note_offer(update.offered_document);
  }
  return is_changed;
}

bool router::apply(update const& update, base::monotonic_time now) {
  bool is_changed = false;
  for (auto const& record : update.endpoints) {
    m_endpoints.apply(record, update.state.registry_term);
    is_changed = true;
  }
  if (update.rollouts) {
    m_versions.apply(*update.rollouts);
    m_observer.apply(*update.rollouts, m_versions);
  }
  m_overload.limits().merge(update.rejection_limits, now);
  if (update.loads) {
    m_endpoints.apply_loads(m_reports.others_in(*update.loads));
    m_overload.divide_room(m_endpoints, *m_routes, now);
  }
  auto const entry_instances = std::max<std::uint32_t>(update.entry_instances, 1);
  m_attempts.set_instances(entry_instances);
  m_notices.rates().set_instances(entry_instances);
  m_overload.set_instances(entry_instances);
  auto const requested_at = update.loads ? m_reports.counted_since(*update.loads) : std::nullopt;
  if (m_grant_lease.note_update(requested_at)) {
    m_notices.rates().apply(update.rate_grants, now);
  }
  m_quarantine.merge(update.evidence, now);
  if (!update.relay_peers.empty()) {
    m_relays.use_peers(update.relay_peers);
  }
  bool const is_contiguous = m_subscriber.advance(update);
  if (is_contiguous && update.is_registry_complete) {
    m_endpoints.erase_unconfirmed(update.state.registry_term);
  }
  return is_changed;
}

} // namespace catkinlanding::proxy
