#include <libraries/billing/outbox.h>

#include <algorithm>
#include <utility>

namespace catkinlanding::billing {

void outbox::add(bill bill, base::monotonic_time now, std::vector<outgoing>& out) {
  auto const request = bill.request;
  auto const [it, is_new] = m_pending.try_emplace(request);
  if (!is_new) {
    return;
  }
  it->second.bill = std::move(bill);
  it->second.needs_copy = true;
  if (!m_options.zone_peers.empty()) {
    send_copy(it->second, now, out);
  }
}

void outbox::adopt(bill bill) {
  auto const request = bill.request;
  auto const [it, is_new] = m_pending.try_emplace(request);
  if (is_new) {
    it->second.bill = std::move(bill);
  }
}

bool outbox::is_replicated(base::request_id const& request) const {
  auto const it = m_pending.find(request);
  return it == m_pending.end() || !it->second.copy_peer.is_empty();
}

void outbox::receive(base::instance_id const& from, bill_receipt const& receipt,
                     std::vector<base::request_id>& replicated) {
  auto const quorum = m_options.ledgers.size() / 2 + 1;
  for (auto const& request : receipt.requests) {
    auto const it = m_pending.find(request);
    if (it == m_pending.end()) {
      continue;
    }
    it->second.stored_by.insert(from);
    if (it->second.stored_by.size() < quorum) {
      continue;
    }
    if (auto const& peer = it->second.copy_peer; !peer.is_empty()) {
      m_settled[peer].requests.push_back(request);
    }
    m_pending.erase(it);
    replicated.push_back(request);
  }
}

void outbox::receive(base::instance_id const& from, copy_receipt const& receipt,
                     std::vector<base::request_id>& replicated) {
  auto const it = m_pending.find(receipt.request);
  if (it == m_pending.end()) {
    // Either the bill is settled, or this instance has restarted and lost it. The peer is not told
    // to discard its copy, so it sends the bill to the ledgers, which ignore duplicates.
    return;
  }
  it->second.copy_peer = from;
  it->second.needs_copy = false;
  replicated.push_back(receipt.request);
}

void outbox::tick(base::monotonic_time now, std::vector<outgoing>& out) {
  send_copies(now, out);
  send_batches(now, out);
  for (auto& [peer, settled] : std::exchange(m_settled, {})) {
    out.push_back({peer, settled});
  }
}

void outbox::send_copy(pending& pending, base::monotonic_time now, std::vector<outgoing>& out) {
  pending.copy_resend_at = now + m_options.copy_interval;
  auto const& peer = m_options.zone_peers[m_peer_index % m_options.zone_peers.size()];
  out.push_back({peer, bill_copy{pending.bill}});
}

void outbox::send_copies(base::monotonic_time now, std::vector<outgoing>& out) {
  auto const is_due = [this, now](pending const& pending) {
    return pending.needs_copy && now >= pending.copy_resend_at && !m_options.zone_peers.empty();
  };
  bool const is_copy_overdue =
      std::ranges::any_of(m_pending, [&](auto const& item) { return is_due(item.second); });
  if (!is_copy_overdue) {
    return;
  }
  ++m_peer_index;
  for (auto& [request, pending] : m_pending) {
    if (is_due(pending)) {
      send_copy(pending, now, out);
    }
  }
}

void outbox::append_to_batches(std::vector<bill_batch>& batches, bill const& bill) const {
  if (batches.empty() || batches.back().bills.size() >= m_options.max_batch_size) {
    batches.emplace_back();
  }
  batches.back().bills.push_back(bill);
}

void outbox::send_batches(base::monotonic_time now, std::vector<outgoing>& out) {
  std::map<base::instance_id, std::vector<bill_batch>> batches;
  std::size_t count = 0;
  for (auto& [request, pending] : m_pending) {
    if (now < pending.resend_at) {
      continue;
    }
    if (++count > m_options.max_bills_per_tick) {
      break;
    }
    pending.resend_at = now + m_options.resend_interval;
    for (auto const& ledger : m_options.ledgers) {
      if (!pending.stored_by.contains(ledger)) {
        append_to_batches(batches[ledger], pending.bill);
      }
    }
  }
  for (auto& [ledger, ledger_batches] : batches) {
    for (auto& batch : ledger_batches) {
      out.push_back({ledger, std::move(batch)});
    }
  }
}

} // namespace catkinlanding::billing
