#pragma once

#include <libraries/billing/message.h>

#include <map>

namespace catkinlanding::billing {

/// Copies of other instances' bills, held in memory until their owner says that they are settled
/// or falls silent.
class copy_holder {
public:
  struct options {
    /// A copy that is not settled in this time is brought to the ledgers by this instance.
    base::duration takeover_timeout = std::chrono::seconds(2);
    std::size_t max_copies = 20'000;
  };

  explicit copy_holder(options options) : m_options(options) {}

  void receive(base::instance_id const& from, bill_copy const& copy, base::monotonic_time now,
               std::vector<outgoing>& out);
  void receive(bills_settled const& settled);

  /// Gives up the copies whose owner fell silent; they must go into the outbox.
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
