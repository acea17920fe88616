#pragma once

#include <libraries/billing/message.h>

#include <deque>
#include <map>
#include <optional>

namespace catkinlanding::billing {

/// Bills to append to the ledger's file, followed by a sync.
struct ledger_write {
  std::uint64_t id = 0;
  std::vector<bill> bills;
};

/// The bills that this control instance stores on disk, one per request.
class ledger {
public:
  explicit ledger(std::vector<bill> const& recovered);

  /// Returns a write if the batch holds new bills. The receipt for the batch is sent only after
  /// `complete_write` confirms that all earlier writes and this one are synced.
  [[nodiscard]] std::optional<ledger_write>
  receive(base::instance_id const& from, bill_batch const& batch, std::vector<outgoing>& out);
  void complete_write(std::uint64_t id, std::vector<outgoing>& out);

  [[nodiscard]] std::map<base::request_id, bill> const& bills() const { return m_bills; }

private:
  struct pending {
    std::uint64_t id = 0;
    base::instance_id sender;
    bill_receipt receipt;
  };

  std::map<base::request_id, bill> m_bills;
  std::uint64_t m_last_write = 0;
  std::deque<pending> m_pending;
};

} // namespace catkinlanding::billing
