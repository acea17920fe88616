#pragma once

#include <libraries/sessions/message.h>

#include <map>
#include <optional>
#include <vector>

namespace catkinlanding::sessions {

/// Sends the pin proposals of one entry instance to the leader, and resends each until the log has
/// decided on it.
class pin_client {
public:
  struct options {
    base::instance_id self;
    std::uint64_t incarnation = 0;
    /// The instances that can be the leader, or forward to it.
    std::vector<base::instance_id> control_instances;
    base::duration resend_interval = std::chrono::milliseconds(200);
    /// A proposal that is not decided within this time is dropped.
    base::duration timeout = std::chrono::seconds(2);
    std::size_t max_pending = 4096;
  };

  explicit pin_client(options options) : m_options(std::move(options)) {}

  /// Does nothing if the same version is already proposed for the session; a proposal of another
  /// version is replaced.
  void submit(session_key const& key, base::version_id const& version, base::monotonic_time now,
              std::vector<outgoing>& out);

  /// Returns when the decided proposal was submitted, or nothing if the decision is late or a
  /// duplicate.
  [[nodiscard]] std::optional<base::monotonic_time> receive(base::instance_id const& from,
                                                            decision const& decision);

  void tick(base::monotonic_time now, std::vector<outgoing>& out);

  [[nodiscard]] bool is_full() const { return m_pending.size() >= m_options.max_pending; }
  [[nodiscard]] std::size_t size() const { return m_pending.size(); }

private:
  struct pending {
    sessions::proposal proposal;
    base::monotonic_time submitted_at{};
    base::monotonic_time resend_at{};
  };

  void send(pending& pending, base::monotonic_time now, std::vector<outgoing>& out) const;

  options m_options;
  std::map<session_key, pending> m_pending;
  std::uint64_t m_last_number = 0;
  /// The index of the instance that proposals are sent to. It advances when a decision is overdue.
  std::size_t m_target_index = 0;
};

} // namespace catkinlanding::sessions
