#pragma once

#include <libraries/proxy/request.h>
#include <libraries/proxy/request_traits.h>
#include <libraries/proxy/route_table.h>
#include <libraries/proxy/tally_recorder.h>

#include <memory>
#include <optional>
#include <vector>

namespace catkinlanding::proxy {

/// A caller's request from its arrival to its end, as the router sees it.
struct active_request {
  request_facts facts;
  request_traits traits;
  /// The route table at the request's arrival, kept alive if a newer document replaces it.
  std::shared_ptr<route_table const> routes;
  proxy::route const* route = nullptr;
  base::service_id service;
  std::optional<base::customer_id> customer;
  std::uint32_t priority = 0;
  base::monotonic_time began_at{};
  base::monotonic_time deadline{};
  /// Endpoints that the request was sent to, and those that could not be connected to.
  std::vector<base::endpoint_id> tried;
  std::vector<base::endpoint_id> unreached;
  base::endpoint_id endpoint;
  base::version_id version;
  std::uint64_t incarnation = 0;
  /// The model chosen by the system, fixed at the first attempt because another model could not
  /// continue the same answer. Changes only when a low-confidence answer is escalated.
  std::optional<base::model_id> model;
  base::monotonic_time attempt_at{};
  /// When the attempt began or last received data.
  base::monotonic_time progress_at{};
  /// The pace of the current attempt's stream.
  stream_pace pace;
  /// Weighted prompt tokens that the current attempt's endpoint has yet to process.
  std::uint64_t pending_work = 0;
  /// Set while an attempt is in progress.
  bool is_attempting = false;
  bool has_answer = false;
  /// Whether the current attempt delivered an event.
  bool has_event = false;
  /// Endpoints that ended under this request before it had an event.
  std::size_t endings = 0;
  bool has_delivered = false;
  /// Whether any attempt may have executed the request.
  bool may_have_run = false;
};

} // namespace catkinlanding::proxy
