#include <libraries/proxy/state_publisher.h>
#include <libraries/proxy/voter_policy.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

/// The size of a registry's record in a message, roughly.
constexpr std::size_t bytes_per_record = 150;

} // namespace

known_state state_publisher::source::revisions() const {
  return {.document_revision = state.revision(),
          .registry_term = replica.term(),
          .registry_revision = registry.revision(),
          .rollouts_revision = state.rollouts_revision()};
}

outgoing state_publisher::reply_to(base::instance_id const& from, source const& source,
                                   base::monotonic_time now) {
  auto& downstream = m_downstreams.all().at(from);
  bool const is_lost = downstream.deliveries.try_take_loss(now);
  if (is_lost) {
    ++downstream.losses;
    downstream.forget_sent();
  }
  auto reply = make_update(from, downstream, source, now);
  if (downstream.is_entry) {
    auto& sent = std::get<update>(reply.message);
    sent.loads = m_downstreams.loads_for(downstream, now);
    sent.evidence = source.quarantine.report(now);
    sent.rejection_limits = source.rejection_limits.all(now);
    sent.relay_peers = m_downstreams.relay_peers_for(from, now);
  }
  reply.needs_new_connection = is_lost;
  return reply;
}

std::vector<outgoing> state_publisher::push(source const& source, base::monotonic_time now) {
  std::vector<outgoing> messages;
  auto const current = source.revisions();
  bool const must_wait = m_pushing_until > now + m_options.max_push_backlog;
  if (current == m_last_pushed || must_wait) {
    return messages;
  }
  m_last_pushed = current;
  auto const instances = static_cast<std::int64_t>(m_downstreams.size());
  m_pushing_until = std::max(m_pushing_until, now) + instances * m_options.push_time_per_instance;
  for (auto& [id, downstream] : m_downstreams.all()) {
    messages.push_back(make_update(id, downstream, source, now));
  }
  return messages;
}

outgoing state_publisher::make_update(base::instance_id const& to, downstream& downstream,
                                      source const& source, base::monotonic_time now) {
  update sent{.state = source.revisions()};
  auto const& known = downstream.known;
  add_document(sent, downstream, source.state.document(), now);
  sent.is_registry_complete = source.is_registry_complete;
  add_registry(sent, downstream, source.registry, now);
  downstream.has_restarted = false;
  if (known.rollouts_revision != sent.state.rollouts_revision) {
    sent.rollouts = source.state.rollouts();
  }
  sent.entry_instances = m_downstreams.count_entries();
  if (downstream.is_entry) {
    sent.rate_grants = source.rates.grants_for(to, now);
  }
  sent.control_instances = instances_of(source.replica.current_configuration().voters);
  downstream.deliveries.note_sent(sent.state, now);
  return {to, std::move(sent)};
}

void state_publisher::add_registry(update& sent, downstream& downstream,
                                   endpoint_registry const& registry, base::monotonic_time now) {
  auto const& known = downstream.known;
  bool const is_same_term = known.registry_term == sent.state.registry_term;
  sent.base_registry_revision = is_same_term ? known.registry_revision : 0;
  bool const was_whole_sent = !downstream.has_restarted && downstream.registry_sent != 0 &&
                              now < downstream.registry_sent_at + m_options.push_interval;
  if (sent.base_registry_revision == 0 && was_whole_sent) {
    // The receiver has not said yet that it holds the whole registry, which is on its way.
    sent.base_registry_revision = downstream.registry_sent;
  }
  bool const is_whole = sent.base_registry_revision == 0;
  if (is_whole && !try_take_registry(registry, now)) {
    // It keeps what it knows, and asks again.
    sent.state.registry_term = known.registry_term;
    sent.state.registry_revision = known.registry_revision;
    sent.base_registry_revision = known.registry_revision;
    sent.is_registry_complete = false;
    return;
  }
  sent.endpoints =
      find_changes({.revision = sent.base_registry_revision, .is_for_entries = downstream.is_entry},
                   registry, now);
  if (is_whole && !sent.endpoints.empty()) {
    downstream.registry_sent = registry.revision();
    downstream.registry_sent_at = now;
  }
}

bool state_publisher::try_take_registry(endpoint_registry const& registry,
                                        base::monotonic_time now) {
  return m_registries.try_take(registry.size() * bytes_per_record, now);
}

std::optional<last_known_state> state_publisher::last_known(replicated_state const& state,
                                                            endpoint_registry const& registry,
                                                            base::monotonic_time now) {
  if (!try_take_registry(registry, now)) {
    return std::nullopt;
  }
  return last_known_state{.document = state.document(),
                          .endpoints = find_changes({.is_for_entries = true}, registry, now),
                          .rollouts = state.rollouts()};
}

shared_list<endpoint_record> state_publisher::find_changes(change_list const& wanted,
                                                           endpoint_registry const& registry,
                                                           base::monotonic_time now) {
  bool const is_current =
      m_changes_revision == registry.revision() && now < m_changes_at + m_options.changes_lifetime;
  if (!is_current) {
    m_changes.clear();
    m_changes_revision = registry.revision();
    m_changes_at = now;
  }
  auto const [changes, is_new] = m_changes.try_emplace(wanted);
  if (is_new && wanted.revision != registry.revision()) {
    changes->second = wanted.is_for_entries ? registry.changes_for_entries(wanted.revision)
                                            : registry.changes_since(wanted.revision);
  }
  return changes->second;
}

void state_publisher::add_document(update& sent, downstream& downstream, document const& document,
                                   base::monotonic_time now) {
  auto const held = downstream.known.document_revision;
  if (held >= document.revision) {
    return;
  }
  sent.state.document_revision = held;
  if (!downstream.is_entry) {
    return;
  }
  m_documents.offer(document);
  if (!m_documents.is_small()) {
    sent.offered_document = document.revision;
    return;
  }
  bool const was_just_sent = !downstream.has_restarted &&
                             downstream.document_sent == document.revision &&
                             now < downstream.document_sent_at + m_options.push_interval;
  if (was_just_sent) {
    return;
  }
  sent.state.document_revision = document.revision;
  sent.document = document;
  downstream.document_sent = document.revision;
  downstream.document_sent_at = now;
}

std::optional<outgoing> state_publisher::part_for(base::instance_id const& to,
                                                  document_request const& request) {
  auto part = m_documents.part(request);
  if (!part) {
    return std::nullopt;
  }
  auto const found = m_downstreams.all().find(to);
  if (found == m_downstreams.all().end()) {
    return outgoing{to, std::move(*part)};
  }
  auto& downstream = found->second;
  document_request const sent{.revision = part->revision, .offset = part->offset};
  bool const was_sent = downstream.part_sent == sent;
  downstream.part_sent = sent;
  downstream.losses += was_sent ? 1 : 0;
  return outgoing{to, std::move(*part), was_sent};
}

} // namespace catkinlanding::proxy
