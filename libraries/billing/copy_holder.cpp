#include <libraries/billing/copy_holder.h>

namespace catkinlanding::billing {

void copy_holder::receive(base::instance_id const& from, bill_copy const& copy,
                          base::monotonic_time now, std::vector<outgoing>& out) {
  auto const& request = copy.bill.request;
  if (m_copies.size() >= m_options.max_copies && !m_copies.contains(request)) {
    // Without a receipt the owner sends the copy to another instance.
    return;
  }
  m_copies.try_emplace(request, copy_holder::copy{.bill = copy.bill,
                                                  .takeover_at = now + m_options.takeover_timeout});
  out.push_back({from, copy_receipt{request}});
}

void copy_holder::receive(bills_settled const& settled) {
  for (auto const& request : settled.requests) {
    m_copies.erase(request);
  }
}

std::vector<bill> copy_holder::take_overdue(base::monotonic_time now) {
  std::vector<bill> overdue;
  std::erase_if(m_copies, [&](auto& item) {
    bool const is_due = now >= item.second.takeover_at;
    if (is_due) {
      overdue.push_back(std::move(item.second.bill));
    }
    return is_due;
  });
  return overdue;
}

} // namespace catkinlanding::billing
