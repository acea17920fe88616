#pragma once

#include <libraries/claims/message.h>

#include <map>
#include <vector>

namespace catkinlanding::claims {

/// Sends the claim actions of one entry instance to the leader, and resends each until the log has
/// decided on it.
class claim_client {
public:
  struct options {
    /// The instances that can be the leader, or forward to it.
    std::vector<base::instance_id> control_instances;
    base::duration resend_interval = std::chrono::milliseconds(200);
    /// A finish or release that is not decided within this time is dropped; the outcome of the
    /// claim then counts as unknown.
    base::duration timeout = std::chrono::minutes(5);
    std::size_t max_pending = 4096;
  };

  explicit claim_client(options options) : m_options(std::move(options)) {}

  /// A later action of a holder replaces its earlier one.
  void submit(action action, base::monotonic_time now, std::vector<outgoing>& out);

  /// Returns whether the decision was awaited; late and duplicate decisions are not.
  [[nodiscard]] bool receive(base::instance_id const& from, decision const& decision);

  void tick(base::monotonic_time now, std::vector<outgoing>& out);

  [[nodiscard]] bool is_full() const { return m_pending.size() >= m_options.max_pending; }
  [[nodiscard]] std::size_t size() const { return m_pending.size(); }

private:
  struct pending {
    claims::action action;
    base::monotonic_time expires_at{};
    base::monotonic_time resend_at{};
  };

  void send(pending& pending, base::monotonic_time now, std::vector<outgoing>& out) const;

  options m_options;
  std::map<holder, pending> m_pending;
  /// The index of the instance that actions are sent to. It advances when a decision is overdue.
  std::size_t m_target_index = 0;
};

} // namespace catkinlanding::claims
