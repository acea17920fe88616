#include <libraries/base/codec.h>
#include <libraries/base/hash.h>
#include <libraries/catalogue/replicated_catalogue.h>

#include <algorithm>

namespace catkinlanding::catalogue {

change_outcome replicated_catalogue::apply(change const& change) {
  auto const known = m_outcomes.find(change.id);
  if (known != m_outcomes.end()) {
    if (known->second.content_hash == content_hash(change)) {
      return known->second.outcome;
    }
    return {.verdict = change_verdict::id_reused, .revision = m_document.revision(), .culprit = {}};
  }
  auto outcome = judge(change);
  if (outcome.verdict == change_verdict::accepted) {
    m_document.apply(change);
    m_recent_changes.push_back(change);
    if (m_recent_changes.size() > kept_changes) {
      m_recent_changes.pop_front();
    }
  }
  record(change, outcome);
  return outcome;
}

change_outcome replicated_catalogue::judge(change const& change) const {
  if (change.base_revision != m_document.revision()) {
    return {.verdict = change_verdict::conflict, .revision = m_document.revision(), .culprit = {}};
  }
  // The tool checks this too, but not every change comes from it.
  auto const unsound = std::ranges::find_if_not(change.upserts, has_sound_names);
  if (unsound != change.upserts.end()) {
    return {.verdict = change_verdict::unsound_name,
            .revision = m_document.revision(),
            .culprit = reference_to(*unsound)};
  }
  auto candidate = m_document;
  candidate.apply(change);
  if (auto culprit = candidate.dangling_reference()) {
    return {.verdict = change_verdict::dangling_reference,
            .revision = m_document.revision(),
            .culprit = std::move(culprit)};
  }
  if (auto culprit = illegal_rollout(m_document, candidate)) {
    return {.verdict = change_verdict::illegal_rollout,
            .revision = m_document.revision(),
            .culprit = std::move(culprit)};
  }
  return {.verdict = change_verdict::accepted, .revision = candidate.revision(), .culprit = {}};
}

void replicated_catalogue::record(change const& change, change_outcome const& outcome) {
  m_outcomes.emplace(change.id, recorded_outcome{content_hash(change), outcome});
  m_outcome_order.push_back(change.id);
  if (m_outcome_order.size() > kept_outcomes) {
    m_outcomes.erase(m_outcome_order.front());
    m_outcome_order.pop_front();
  }
}

std::optional<std::vector<change>> replicated_catalogue::changes_since(revision since) const {
  auto const current = m_document.revision();
  if (since > current || current - since > m_recent_changes.size()) {
    return std::nullopt;
  }
  auto const first = m_recent_changes.end() - static_cast<std::ptrdiff_t>(current - since);
  return std::vector<change>(first, m_recent_changes.end());
}

std::uint64_t content_hash(change const& change) {
  return base::stable_hash(base::encode(change));
}

} // namespace catkinlanding::catalogue
