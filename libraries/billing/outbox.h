#pragma once

#include <libraries/billing/message.h>

#include <map>
#include <set>

namespace catkinlanding::billing {

/// Bills of this instance that are not yet settled. A bill is settled once a majority of the
/// ledgers has synced it to disk.
///
/// A bill is replicated, and survives the loss of this instance, once another instance of the zone
/// keeps a copy or once the bill is settled, whichever comes first.
class outbox {
public:
  struct options {
    std::vector<base::instance_id> ledgers;
    std::vector<base::instance_id> zone_peers;
    /// Selects the first peer, so that instances of a zone start with different ones.
    std::uint64_t seed = 0;
    base::duration resend_interval = std::chrono::milliseconds(250);
    /// If a copy is not confirmed within this time, it is sent to the next peer.
    base::duration copy_interval = std::chrono::milliseconds(60);
    std::size_t max_batch_size = 100;
    /// Bills sent to the ledgers per tick, including resent ones.
    std::size_t max_bills_per_tick = 1000;
    std::size_t max_pending = 20'000;
  };

  explicit outbox(options options) : m_options(std::move(options)), m_peer_index(m_options.seed) {}

  /// Sets the other live instances of the zone.
  void follow_zone(std::vector<base::instance_id> peers) {
    m_options.zone_peers = std::move(peers);
  }

  /// Adds a bill of this instance and sends a copy to a peer.
  void add(bill bill, base::monotonic_time now, std::vector<outgoing>& out);

  /// Adds a bill that is taken over from another instance, without a copy to a peer.
  void adopt(bill bill);

  /// Appends the requests whose bills became replicated to `replicated`.
  void receive(base::instance_id const& from, bill_receipt const& receipt,
               std::vector<base::request_id>& replicated);
  void receive(base::instance_id const& from, copy_receipt const& receipt,
               std::vector<base::request_id>& replicated);

  void tick(base::monotonic_time now, std::vector<outgoing>& out);

  [[nodiscard]] std::size_t size() const { return m_pending.size(); }
  [[nodiscard]] bool is_full() const { return m_pending.size() >= m_options.max_pending; }
  /// Whether the bill is settled, or was never added.
  [[nodiscard]] bool is_settled(base::request_id const& request) const {
    return !m_pending.contains(request);
  }
  [[nodiscard]] bool is_replicated(base::request_id const& request) const;

private:
  struct pending {
    billing::bill bill;
    std::set<base::instance_id> stored_by;
    base::monotonic_time resend_at{};
    /// The peer that keeps a copy; empty while there is none.
    base::instance_id copy_peer;
    bool needs_copy = false;
    base::monotonic_time copy_resend_at{};
  };

  void send_copy(pending& pending, base::monotonic_time now, std::vector<outgoing>& out);
  void send_copies(base::monotonic_time now, std::vector<outgoing>& out);
  /// Appends the bill to the last batch, or to a new one if that is full.
  void append_to_batches(std::vector<bill_batch>& batches, bill const& bill) const;
  void send_batches(base::monotonic_time now, std::vector<outgoing>& out);

  options m_options;
  std::map<base::request_id, pending> m_pending;
  /// Settled bills by the peer that can discard its copies.
  std::map<base::instance_id, bills_settled> m_settled;
  /// The index of the peer that copies are sent to. It advances when a receipt is overdue.
  std::size_t m_peer_index = 0;
};

} // namespace catkinlanding::billing
