#pragma once

#include <libraries/instance/message.h>
#include <libraries/operators/gateway.h>
#include <libraries/requests/event.h>
#include <libraries/routing/rating_message.h>

namespace catkinlanding::instance {

/// Time has passed. Ticks arrive several times within the shortest interval that a part uses.
struct tick {};

struct message_received {
  base::instance_id from;
  instance::message message;
};

/// A write to the log file, and all writes before it, are synced.
struct log_written {
  consensus::write_id id = 0;
};

/// A write to the ledger file, and all writes before it, are synced.
struct ledger_written {
  std::uint64_t id = 0;
};

struct endpoint_announced {
  endpoints::announcement announcement;
};

/// The platform asks the process to stop.
struct stop_requested {};

using event =
    std::variant<tick, message_received, log_written, ledger_written, endpoint_announced,
                 stop_requested, operators::command, requests::event, routing::rating_result>;

} // namespace catkinlanding::instance
