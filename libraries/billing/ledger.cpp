#include <libraries/billing/ledger.h>

namespace catkinlanding::billing {

ledger::ledger(std::vector<bill> const& recovered) {
  for (auto const& bill : recovered) {
    m_bills.try_emplace(bill.request, bill);
  }
}

std::optional<ledger_write> ledger::receive(base::instance_id const& from, bill_batch const& batch,
                                            std::vector<outgoing>& out) {
  ledger_write write;
  bill_receipt receipt;
  for (auto const& bill : batch.bills) {
    receipt.requests.push_back(bill.request);
    if (m_bills.try_emplace(bill.request, bill).second) {
      write.bills.push_back(bill);
    }
  }
  if (write.bills.empty() && m_pending.empty()) {
    out.push_back({from, std::move(receipt)});
    return std::nullopt;
  }
  // Known bills in this batch may belong to a write that is not synced yet. The receipt is queued
  // behind that write too.
  write.id = ++m_last_write;
  m_pending.push_back({.id = write.id, .sender = from, .receipt = std::move(receipt)});
  return write;
}

void ledger::complete_write(std::uint64_t id, std::vector<outgoing>& out) {
  while (!m_pending.empty() && m_pending.front().id <= id) {
    out.push_back({m_pending.front().sender, std::move(m_pending.front().receipt)});
    m_pending.pop_front();
  }
}

} // namespace catkinlanding::billing
