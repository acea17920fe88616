#pragma once

#include <libraries/consensus/replica.h>
#include <libraries/proxy/control_event.h>

#include <optional>
#include <vector>

namespace catkinlanding::proxy {

/// Notices changes of an instance's role, of its quorum and of the voters, and describes them for
/// the log.
class group_monitor {
public:
  using events = std::vector<control_event_details>;

  /// Returns whether the instance has won or lost leadership since the last call.
  [[nodiscard]] bool note_role(consensus::replica const& replica, events& out);
  void note_quorum(consensus::replica const& replica, base::monotonic_time now, events& out);
  void note_voters(consensus::replica const& replica, events& out);

private:
  bool m_was_leader = false;
  bool m_had_quorum = false;
  std::vector<consensus::voter> m_voters;
};

/// Whether the replica leads and a majority of the voters responds to it.
[[nodiscard]] bool is_serving_leader(consensus::replica const& replica, base::monotonic_time now);
/// The leader that the replica knows, unless it is this instance.
[[nodiscard]] std::optional<base::instance_id> other_leader(consensus::replica const& replica);

} // namespace catkinlanding::proxy
