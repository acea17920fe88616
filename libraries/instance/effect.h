#pragma once

#include <libraries/billing/ledger.h>
#include <libraries/instance/message.h>
#include <libraries/instance/state_change.h>
#include <libraries/operators/gateway.h>
#include <libraries/requests/effect.h>
#include <libraries/requests/running_request.h>
#include <libraries/routing/rating_message.h>

namespace catkinlanding::instance {

struct send {
  base::instance_id to;
  instance::message message;
  /// Whether a connection that is open now may have lost what was last sent to the recipient.
  bool needs_new_connection = false;
};

struct write_log {
  consensus::durable_write write;
};

struct write_ledger {
  billing::ledger_write write;
};

/// The address at which an instance can be reached from now on.
struct update_address {
  base::instance_id instance;
  base::address address;
};

/// Which requests a planned stop waits for, told to operators from time to time.
struct stop_report {
  /// The number of requests that have not ended.
  std::size_t requests = 0;
  /// The first of them to arrive.
  std::vector<requests::running_request> first;
};

/// All work is finished or handed over, so the process can exit.
struct stop {};

using effect =
    std::variant<send, write_log, write_ledger, operators::answer, requests::effect, update_address,
                 state_change, stop_report, stop, routing::rating_request>;
using effects = std::vector<effect>;

} // namespace catkinlanding::instance
