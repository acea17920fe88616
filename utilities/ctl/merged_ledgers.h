#pragma once

#include <libraries/operators/reply.h>

#include <vector>

namespace catkinlanding::ctl {

/// The status and bills that one control instance returned.
struct ledger_response {
  operators::status_reply status;
  std::vector<billing::bill> bills;
};

/// The bills of several ledgers, deduplicated by request id.
struct merged_ledgers {
  /// Sorted by request id.
  std::vector<billing::bill> bills;
  /// The voters that answered.
  std::vector<base::instance_id> answered_voters;
  /// The number of voters in the newest configuration among the answers.
  std::size_t voter_count = 0;

  /// Whether a majority of the voters answered. If so, every bill that was stored on a majority of
  /// the ledgers is included, unless a ledger that answered lost its disk after storing the bill.
  [[nodiscard]] bool has_majority() const { return 2 * answered_voters.size() > voter_count; }
};

/// Merges the bills. For duplicates the bill in the earliest answer is kept.
[[nodiscard]] merged_ledgers merge(std::vector<ledger_response> const& answers);

} // namespace catkinlanding::ctl
