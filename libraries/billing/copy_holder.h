#pragma once

#include <libraries/billing/message.h>

#include <map>

namespace catkinlanding::billing {

/// In-memory copies of other instances' bills. A copy is kept until its owner reports that the bill
/// is settled, or taken over if the owner does not report within a timeout.
class copy_holder {
public:
  struct options {
    /// If a bill is not reported as settled within this time, this instance sends it to the
    /// ledgers.
    base::duration takeover_timeout = std::chrono::seconds(2);
    std::size_t max_copies = 20'000;
  };

  explicit copy_holder(options options) : m_options(options) {}

  void receive(base::instance_id const& from, bill_copy const& copy, base::monotonic_time now,
               std::vector<outgoing>& out);
  void receive(bills_settled const& settled);

  /// Removes and returns the bills that were not reported as settled in time. The caller must add
  /// them to its outbox.
  [[nodiscard]] std::vector<bill> take_overdue(base::monotonic_time now);

  [[nodiscard]] std::size_t size() const { return m_copies.size(); }

private:
  struct copy {
    billing::bill bill;
    base::monotonic_time takeover_at{};
  };

  options m_options;
  std::map<base::request_id, copy> m_copies;
};

} // namespace catkinlanding::billing
