#pragma once

#include <libraries/base/memory_budget.h>
#include <libraries/proxy/router.h>
#include <services/daemon/coroutine.h>
#include <services/proxy/metrics.h>
#include <services/proxy/protocol_adapter.h>
#include <services/proxy/upstream_pool.h>

#include <set>

namespace catkinlanding::proxy {

/// State shared by all exchanges of an entry instance.
struct entry_context {
  boost::asio::io_context& io;
  proxy::router& router;
  upstream_pool& pool;
  proxy::protocol_adapter const& protocol_adapter;
  proxy::metrics& metrics;
  /// What the answers of all exchanges may take up in buffers.
  base::memory_budget& answer_memory;
  /// Timers of requests that wait for a document or endpoints. They are cancelled on each change of
  /// the router's state, so that the requests check again.
  std::set<daemon::steady_timer*> state_wait_timers;
  request_number last_request_number = 0;
  /// The port on which all entry instances accept callers.
  std::uint16_t caller_port = 0;
  /// Set during shutdown: each connection is then closed after its current answer.
  bool is_stopping = false;
};

} // namespace catkinlanding::proxy
