#pragma once

#include <libraries/proxy/endpoint_table.h>
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
  /// Entry instances that the request was passed on to.
  std::vector<base::instance_id> relays;
  base::endpoint_id endpoint;
  base::version_id version;
  std::uint64_t incarnation = 0;
  /// The model chosen by the system, fixed at the first attempt because another model could not
  /// continue the same answer. Changes only when a low-confidence answer is escalated.
  std::optional<base::model_id> model;
  /// How many times as long this model takes for a prompt as the smallest of the route.
  double model_weight = 1.0;
  base::monotonic_time attempt_at{};
  /// When the attempt began or last received data.
  base::monotonic_time progress_at{};
  /// The longest pause between two events of the current attempt's stream.
  base::duration longest_pause{};
  /// The pace of the current attempt's stream.
  stream_pace pace;
  /// Weighted prompt tokens that the current attempt's endpoint has yet to process.
  std::uint64_t pending_work = 0;
  /// Set while an attempt is in progress.
  bool is_attempting = false;
  /// Set while another entry instance handles the request.
  bool is_relaying = false;
  bool has_answer = false;
  /// Whether the current attempt delivered an event.
  bool has_event = false;
  /// Endpoints that ended under this request before it had an event.
  std::size_t endings = 0;
  bool has_delivered = false;
  /// Whether any attempt may have executed the request.
  bool may_have_run = false;

  /// Records that events of the current attempt's stream arrived.
  void note_events(base::monotonic_time now);
  /// Chooses the smallest model of the route, unless the caller named one or one was chosen before.
  void choose_model();
  /// Begins an attempt at the endpoint, and describes it without what is known of the registry.
  [[nodiscard]] attempt begin_attempt(known_endpoint const& chosen, base::monotonic_time now);
  /// Passes the request on to another entry instance.
  [[nodiscard]] relay begin_relay(base::instance_id const& peer);
  /// Whether it was sent to the endpoint, or could not be.
  [[nodiscard]] bool has_been_sent_to(base::endpoint_id const& id) const;
  /// Number of requests that an endpoint of the service runs concurrently; 0 if unknown.
  [[nodiscard]] std::uint32_t slots() const;
  /// How many further endpoints its route allows.
  [[nodiscard]] std::uint32_t attempts_left() const;
  [[nodiscard]] bool has_attempts_left() const { return attempts_left() > 0; }
  /// The work of processing this many prompt tokens, weighted by the request's model.
  [[nodiscard]] std::uint64_t work_of(std::uint64_t tokens) const;
  /// The tokens of the prompt without the part that belongs to the request alone.
  [[nodiscard]] std::uint64_t shared_prompt_tokens() const;
  /// The refusal that tells whether the request may have been executed and whether its time is
  /// over.
  [[nodiscard]] refusal_kind final_refusal(bool is_over) const;
  /// Fills in the route and the customer of the request's refusal.
  [[nodiscard]] refusal describe(refusal made) const;
};

} // namespace catkinlanding::proxy
