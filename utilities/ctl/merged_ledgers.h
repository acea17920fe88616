#pragma once

#include <libraries/operators/reply.h>

#include <vector>

namespace catkinlanding::ctl {

/// What one control instance said when it was asked for its bills.
struct ledger_response {
  operators::status_reply status;
  std::vector<billing::bill> bills;
};

/// The bills of several ledgers, each request once.
struct merged_ledgers {
  /// In the order of their request ids.
  std::vector<billing::bill> bills;
  /// The voters that answered, and how many there are by the newest configuration heard of.
  std::vector<base::instance_id> answered_voters;
  std::size_t voter_count = 0;

  /// Whether every bill that is on a majority of the ledgers is among these, unless a ledger among
  /// those that answered lost its disk since the bill was written.
  [[nodiscard]] bool has_majority() const { return 2 * answered_voters.size() > voter_count; }
};

[[nodiscard]] merged_ledgers merge(std::vector<ledger_response> const& answers);

} // namespace catkinlanding::ctl
