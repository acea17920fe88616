#pragma once

#include <libraries/consensus/message.h>

namespace catkinlanding::consensus {

struct outgoing {
  base::instance_id to;
  consensus::message message;
  /// Whether what was last sent to the recipient seems to be lost. A connection that was open then
  /// may take what is sent and deliver nothing, so this message needs another one.
  bool needs_new_connection = false;
};

/// The effects of one event. The caller performs them in this order: queue the writes, send the
/// messages, then update the state machine.
struct effects {
  std::vector<durable_write> writes;
  std::vector<outgoing> messages;
  /// Replaces the state machine before any entry of `committed` is applied.
  std::optional<snapshot> restored_snapshot;
  std::vector<log_entry> committed;
};

} // namespace catkinlanding::consensus
