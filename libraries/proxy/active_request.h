#pragma once

#include <libraries/cascade/model_choice.h>
#include <libraries/proxy/attempt_state.h>
#include <libraries/proxy/endpoint_table.h>
#include <libraries/proxy/request.h>
#include <libraries/proxy/request_traits.h>
#include <libraries/proxy/route_table.h>

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
  /// Entry instances that the request was passed on to, in order. One that broke off its answer may
  /// be asked again.
  std::vector<base::instance_id> relays;
  /// Those of them that broke off their answer since they were last asked.
  std::vector<base::instance_id> interrupted_relays;
  /// The latest attempt.
  attempt_state current;
  /// The attempt that the latest one is to replace, and that goes on until the other is accepted.
  std::optional<held_attempt> held;
  /// The latest decision on its model, for the log; nothing if there was none to make.
  std::optional<cascade::choice> model_choice;
  /// Set while the latest attempt is in progress.
  bool is_attempting = false;
  /// Set while another entry instance handles the request, or is asked to.
  bool is_relaying = false;
  /// What the latest relay began with, and what it said with its answer.
  relay_tally tally_before_relay;
  std::optional<relay_tally> tally_of_relay;
  /// Endpoints that relays before it may have sent the request to.
  std::uint32_t relayed_attempts = 0;
  /// Whether another entry instance may have sent it to endpoints and has not said to how many, so
  /// that it is sent to no further one.
  bool is_relay_spent = false;
  /// Attempts that are left to the instance that passed the request on.
  std::uint32_t handed_over = 0;
  /// Endpoints that ended under this request before it had an event.
  std::size_t endings = 0;
  bool has_delivered = false;
  /// Whether an endpoint has answered with an error that can be delivered if nothing better comes.
  bool has_failure_answer = false;
  /// Whether any attempt may have executed the request.
  bool may_have_run = false;

  /// Whether an endpoint may be asked to execute the request: none can have executed it, or its
  /// route allows several runs. Each way to a run depends on this, the attempts themselves too.
  [[nodiscard]] bool may_run() const;
  /// Whether a model of the route is to be chosen: the caller named none, and none was chosen
  /// before.
  [[nodiscard]] bool needs_model() const;
  /// Begins an attempt at the endpoint, and describes it without what is known of the registry.
  [[nodiscard]] attempt begin_attempt(known_endpoint const& chosen, base::monotonic_time now);
  /// Passes the request on to another entry instance.
  [[nodiscard]] relay begin_relay(base::instance_id const& peer);
  /// Records that the latest relay has failed, and counts what it may have used.
  void end_relay(attempt_failure failure);
  /// Leaves attempts to the instance that passed the request on, as its caller receives the answer
  /// from now on. Returns the most that this instance uses. One attempt of a stream is kept if
  /// there are more, as only this instance sees that an endpoint falls silent.
  [[nodiscard]] relay_tally hand_over();
  /// What has been used of the request's attempts so far.
  [[nodiscard]] relay_tally tally() const;
  /// The attempt at this endpoint that is in progress, if it is the one that is held, or the
  /// latest.
  [[nodiscard]] attempt_state const& attempt_at(base::endpoint_id const& id) const;
  /// Records that it could not be sent to the endpoint, which then doesn't count as an attempt.
  void note_unreached(base::endpoint_id const& id);
  /// Whether it was sent to the endpoint, or could not be.
  [[nodiscard]] bool has_been_sent_to(base::endpoint_id const& id) const;
  /// Number of requests that an endpoint of the service runs concurrently; 0 if unknown.
  [[nodiscard]] std::uint32_t slots() const;
  /// How many further endpoints its route allows.
  [[nodiscard]] std::uint32_t attempts_left() const;
  [[nodiscard]] bool has_attempts_left() const { return attempts_left() > 0; }
  /// Whether a further endpoint may be asked to execute the request.
  [[nodiscard]] bool may_run_again() const { return may_run() && has_attempts_left(); }
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
