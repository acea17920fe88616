#include <libraries/base/random.h>
#include <libraries/base/verify.h>
#include <libraries/proxy/subscriber.h>

#include <algorithm>
#include <utility>

namespace catkinlanding::proxy {

subscriber::subscriber(options options)
    : m_options(std::move(options)), m_candidates(m_options.seeds) {
  CATKINLANDING_VERIFY(!m_candidates.empty());
  // Randomized so that instances that start together don't all contact the same one.
  base::random_generator random(m_options.seed);
  m_next = random() % m_candidates.size();
  m_upstream = m_candidates[m_next];
}

std::optional<base::instance_id> subscriber::tick(base::monotonic_time now, bool is_urgent) {
  if (!is_due(now, is_urgent)) {
    return std::nullopt;
  }
  if (!m_has_requested) {
    m_upstream_since = now;
  } else if (is_upstream_silent(now)) {
    switch_upstream(now);
  }
  m_lacks_reply = m_has_requested && m_last_update_at < m_last_request_at;
  m_has_requested = true;
  m_may_follow_referral = true;
  m_last_request_at = now;
  return m_upstream;
}

bool subscriber::is_due(base::monotonic_time now, bool is_urgent) const {
  auto const regular_interval = is_urgent ? m_options.urgent_interval : m_options.interval;
  auto const interval = m_leader ? regular_interval : m_options.search_interval;
  return !m_has_requested || now >= m_last_request_at + interval;
}

bool subscriber::is_upstream_silent(base::monotonic_time now) const {
  auto const upstream_timeout = m_leader ? m_options.upstream_timeout : m_options.search_interval;
  bool const was_asked = m_last_request_at >= m_upstream_since;
  return was_asked && now >= std::max(m_last_update_at, m_upstream_since) + upstream_timeout;
}

std::optional<base::instance_id> subscriber::follow(referral const& referral,
                                                    base::instance_id const& from,
                                                    base::monotonic_time now) {
  if (from != m_upstream) {
    return std::nullopt;
  }
  if (m_leader == from) {
    m_leader.reset();
  }
  bool const is_useful = referral.leader && *referral.leader != m_options.self;
  if (!is_useful) {
    switch_upstream(now);
    return std::nullopt;
  }
  m_upstream = *referral.leader;
  m_upstream_since = now;
  if (!std::exchange(m_may_follow_referral, false)) {
    return std::nullopt;
  }
  m_last_request_at = now;
  return m_upstream;
}

bool subscriber::is_outdated(update const& update) const {
  auto const& state = update.state;
  if (state.registry_term != m_known.registry_term) {
    return state.registry_term < m_known.registry_term;
  }
  return state.registry_revision < m_known.registry_revision ||
         state.rollouts_revision < m_known.rollouts_revision;
}

void subscriber::note_update(update const& update, base::instance_id const& from,
                             base::monotonic_time now) {
  m_upstream = from;
  m_leader = from;
  m_last_update_at = now;
  m_has_update = true;
  if (update.control_instances.empty()) {
    return;
  }
  m_candidates = update.control_instances;
  add_seeds_to_candidates();
}

void subscriber::use_seeds(std::vector<base::instance_id> seeds) {
  CATKINLANDING_VERIFY(!seeds.empty());
  m_options.seeds = std::move(seeds);
  add_seeds_to_candidates();
}

void subscriber::add_seeds_to_candidates() {
  for (auto const& seed : m_options.seeds) {
    if (std::ranges::find(m_candidates, seed) == m_candidates.end()) {
      m_candidates.push_back(seed);
    }
  }
}

bool subscriber::advance(update const& update) {
  m_known.rollouts_revision = std::max(m_known.rollouts_revision, update.state.rollouts_revision);
  bool const is_same_term = m_known.registry_term == update.state.registry_term;
  auto const known_revision = is_same_term ? m_known.registry_revision : 0;
  bool const is_contiguous = known_revision >= update.base_registry_revision;
  if (!is_contiguous) {
    return false;
  }
  m_known.registry_term = update.state.registry_term;
  m_known.registry_revision = std::max(known_revision, update.state.registry_revision);
  return true;
}

void subscriber::note_document(std::uint64_t revision) {
  m_known.document_revision = std::max(m_known.document_revision, revision);
}

std::optional<base::duration> subscriber::age(base::monotonic_time now) const {
  return m_has_update ? std::optional(now - m_last_update_at) : std::nullopt;
}

bool subscriber::is_connected(base::monotonic_time now) const {
  return m_has_update && now < m_last_update_at + m_options.contact_timeout();
}

void subscriber::switch_upstream(base::monotonic_time now) {
  m_leader.reset();
  m_next = (m_next + 1) % m_candidates.size();
  m_upstream = m_candidates[m_next];
  m_upstream_since = now;
}

} // namespace catkinlanding::proxy
