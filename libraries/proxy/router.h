#pragma once

#include <libraries/base/random.h>
#include <libraries/proxy/endpoint_choice.h>
#include <libraries/proxy/escalation_policy.h>
#include <libraries/proxy/request.h>
#include <libraries/proxy/retry_limiter.h>
#include <libraries/proxy/route_table.h>
#include <libraries/proxy/subscriber.h>
#include <libraries/proxy/version_policy.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace catkinlanding::proxy {

/// The entry role: decides for each request where it goes, whether it goes somewhere else after a
/// failure, and what its caller is told. It touches no socket; the shell carries out the decisions
/// and says how they ended.
class router {
public:
  struct options {
    base::availability_zone_id zone;
    proxy::subscriber::options subscriber;
    endpoint_table::options endpoints;
    version_policy::options versions;
    /// For each service by itself.
    retry_limiter::options retries;
    /// A request whose caller names no time is given up after this.
    base::duration default_timeout = std::chrono::seconds(60);
    /// What is left must allow for an answer, or no further attempt is made.
    base::duration min_attempt_time = std::chrono::milliseconds(30);
    /// A stream's endpoint counts as lost after a pause of so many targets, and not before the
    /// shortest of these times; so does one that makes no first event and nothing else meanwhile.
    double stall_pause_factor = 2.5;
    base::duration min_stall_timeout = std::chrono::seconds(2);
    /// The same for the answer to an idempotent request, in targets.
    double stall_latency_factor = 1.3;
    /// When callers whose request was not run may come back.
    base::duration min_retry_after = std::chrono::milliseconds(250);
    base::duration max_retry_after = std::chrono::milliseconds(750);
    /// The same for callers that come before the first document: the control instances may have to
    /// agree on a leader first.
    base::duration recovery_retry_delay = std::chrono::milliseconds(600);
    /// An instance that found no leader until so long after its start serves by what a control
    /// instance held last. An election takes less.
    base::duration isolation_timeout = std::chrono::milliseconds(1000);
    /// Callers that come while this instance starts wait for what it lacks, until so long after the
    /// start: an election of the control instances, and a round of the endpoints' announcements.
    base::duration startup_wait = std::chrono::milliseconds(2500);
    /// The part of its own time that such a caller waits at most, so that it can come back.
    double max_wait_fraction = 0.5;
    std::uint64_t seed = 0;
  };

  explicit router(options options);

  // Requests.

  /// Until when a request may wait for the first document, or for an endpoint to announce itself
  /// after this instance's start; nothing where it need not, or should be refused now.
  [[nodiscard]] std::optional<base::monotonic_time> wait_for_state(request_facts const& facts,
                                                                   base::monotonic_time now) const;
  [[nodiscard]] decision begin(request_number number, request_facts facts,
                               base::monotonic_time now);
  /// The latest attempt's endpoint began to answer well. Returns whether the answer should be
  /// passed on; otherwise the attempt has failed as doubtful.
  [[nodiscard]] bool note_answer(request_number number, std::optional<double> confidence,
                                 base::monotonic_time now);
  /// More of the latest attempt's answer came.
  void note_progress(request_number number, base::monotonic_time now);
  /// When the latest attempt's endpoint counts as lost unless more comes until then; nothing where
  /// no other attempt could follow.
  [[nodiscard]] std::optional<base::monotonic_time> stall_deadline(request_number number) const;
  /// Whether the latest attempt is to be broken off as stalled. Takes a further attempt then.
  [[nodiscard]] bool try_abandon_stalled(request_number number, base::monotonic_time now);
  /// The latest attempt failed. `was_delivered` tells whether the caller has a part of the answer.
  [[nodiscard]] decision fail(request_number number, attempt_failure failure, bool was_delivered,
                              base::monotonic_time now);
  void end(request_number number);

  // The control instances.

  void use_seeds(std::vector<base::instance_id> seeds) { m_subscriber.use_seeds(std::move(seeds)); }

  /// What to send now to keep up to date.
  [[nodiscard]] std::vector<outgoing> tick(base::monotonic_time now);
  /// What a message from another instance made of this one.
  struct receive_result {
    /// It changed what is routed.
    bool is_changed = false;
    std::vector<outgoing> messages;
  };

  [[nodiscard]] receive_result receive(base::instance_id const& from, message const& message,
                                       base::monotonic_time now);

  [[nodiscard]] caller_limits const& limits() const { return m_routes->document().limits; }
  [[nodiscard]] std::uint64_t document_revision() const { return m_routes->revision(); }
  [[nodiscard]] std::size_t endpoint_count() const { return m_endpoints.size(); }
  [[nodiscard]] std::size_t active_requests() const { return m_requests.size(); }
  [[nodiscard]] bool is_connected(base::monotonic_time now) const {
    return m_subscriber.is_connected(now);
  }
  /// Whether the platform's balancer should send requests here.
  [[nodiscard]] bool is_ready() const { return m_routes->revision() != 0; }

private:
  struct active_request {
    request_facts facts;
    /// The routes under which it came; kept while they are replaced.
    std::shared_ptr<route_table const> routes;
    proxy::route const* route = nullptr;
    base::service_id service;
    std::optional<base::customer_id> customer;
    std::uint32_t priority = 0;
    base::monotonic_time began_at{};
    base::monotonic_time deadline{};
    /// Endpoints that it was sent to, and those that no connection reached.
    std::vector<base::endpoint_id> tried;
    std::vector<base::endpoint_id> unreached;
    base::endpoint_id endpoint;
    base::version_id version;
    /// Chosen with the first attempt: another one would not continue the same answer.
    std::optional<base::model_id> model;
    base::monotonic_time attempt_at{};
    /// When the attempt began, or more of its answer came.
    base::monotonic_time progress_at{};
    /// Weighted prompt tokens of the attempt under way.
    std::uint64_t pending_work = 0;
    /// Set while an attempt is under way.
    bool is_attempting = false;
    bool has_answer = false;
    bool has_delivered = false;
    /// An attempt may have run it.
    bool may_have_run = false;
  };

  /// Asks an instance for what this one lacks, and reports what it saw.
  [[nodiscard]] outgoing make_subscription(base::instance_id const& upstream) const;
  /// Whether a request needs something that this instance does not know yet.
  [[nodiscard]] bool is_missing_state_for(request_facts const& facts) const;
  [[nodiscard]] decision attempt_next(active_request& request, base::monotonic_time now);
  [[nodiscard]] base::service_id const& service_for(route const& route,
                                                    request_facts const& facts) const;
  /// Whether the largest model should answer in place of this one. Takes a further attempt then.
  [[nodiscard]] bool should_escalate(active_request const& request,
                                     std::optional<double> confidence, base::monotonic_time now);
  void note_first_token(active_request const& request, base::monotonic_time now);
  /// Reading so many prompt tokens, weighted by the size of the request's model.
  [[nodiscard]] std::uint64_t prompt_work(active_request const& request,
                                          std::uint64_t tokens) const;
  [[nodiscard]] refusal refuse(refusal_kind kind);
  /// The same for a request whose route and customer are known.
  [[nodiscard]] refusal refuse(active_request const& request, refusal_kind kind);
  /// The refusal that is true of what is known of the attempts so far.
  [[nodiscard]] refusal final_refusal(active_request const& request, base::monotonic_time now);
  void note_failure(active_request& request, attempt_failure failure, base::monotonic_time now);
  void finish_attempt(active_request& request);
  void tally(active_request const& request, bool is_bad, base::monotonic_time now);
  retry_limiter& retry_limiter_for(base::service_id const& service);
  bool apply(update const& update);
  bool apply(last_known_state const& state, base::monotonic_time now);

  options m_options;
  base::random_generator m_random;
  subscriber m_subscriber;
  std::shared_ptr<route_table const> m_routes = std::make_shared<route_table const>();
  endpoint_table m_endpoints;
  version_policy m_versions;
  std::optional<base::monotonic_time> m_started_at;
  std::map<base::service_id, retry_limiter> m_retry_limiters;
  std::map<base::service_id, escalation_policy> m_escalation_policies;
  std::uint32_t m_entry_instances = 1;
  std::unordered_map<request_number, active_request> m_requests;
  std::vector<version_tally> m_tallies;
};

} // namespace catkinlanding::proxy
