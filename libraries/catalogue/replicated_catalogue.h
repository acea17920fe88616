#pragma once

#include <libraries/catalogue/document.h>

#include <cstddef>
#include <deque>
#include <map>

namespace catkinlanding::catalogue {

/// The state that every control instance derives from the log: the document, and the outcomes
/// of earlier changes so that a resend gets the first answer.
class replicated_catalogue {
public:
  /// Changes whose outcome is kept; older ones are answered with `forgotten`.
  static constexpr std::size_t kept_outcomes = 20'000;
  /// Changes that are kept whole, to bring entries up to date without a full copy.
  static constexpr std::size_t kept_changes = 256;

  [[nodiscard]] catalogue::document const& document() const { return m_document; }

  /// Deterministic: the same sequence of changes gives the same state on every instance.
  change_outcome apply(change const& change);

  /// The accepted changes after `since`, or nothing where they are no longer kept.
  [[nodiscard]] std::optional<std::vector<change>> changes_since(revision since) const;

  /// The last accepted changes, oldest first.
  [[nodiscard]] std::deque<change> const& recent_changes() const { return m_recent_changes; }

  template<class Archive>
  void serialize(Archive& archive) {
    archive(m_document, m_outcomes, m_outcome_order, m_recent_changes);
  }

private:
  struct recorded_outcome {
    std::uint64_t content_hash = 0;
    change_outcome outcome;

    template<class Archive>
    void serialize(Archive& archive) {
      archive(content_hash, outcome);
    }
  };

  [[nodiscard]] change_outcome judge(change const& change) const;
  void record(change const& change, change_outcome const& outcome);

  catalogue::document m_document;
  std::map<base::change_id, recorded_outcome> m_outcomes;
  std::deque<base::change_id> m_outcome_order;
  std::deque<change> m_recent_changes;
};

/// A hash over everything that a change says, the same on every instance.
[[nodiscard]] std::uint64_t content_hash(change const& change);

} // namespace catkinlanding::catalogue
