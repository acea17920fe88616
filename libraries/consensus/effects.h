#pragma once

#include <libraries/consensus/message.h>

namespace catkinlanding::consensus {

struct outgoing {
  base::instance_id to;
  consensus::message message;
};

/// What one event makes the replica do, in this order: writes, messages, then the state machine.
struct effects {
  std::vector<durable_write> writes;
  std::vector<outgoing> messages;
  /// The state machine is replaced by this before any entry is applied.
  std::optional<snapshot> restored_snapshot;
  std::vector<log_entry> committed;
};

} // namespace catkinlanding::consensus
