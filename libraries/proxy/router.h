#pragma once

#include <libraries/base/random.h>
#include <libraries/proxy/active_request.h>
#include <libraries/proxy/attempt_monitor.h>
#include <libraries/proxy/document_receiver.h>
#include <libraries/proxy/election_time.h>
#include <libraries/proxy/endpoint_choice.h>
#include <libraries/proxy/endpoint_filter.h>
#include <libraries/proxy/endpoint_notices.h>
#include <libraries/proxy/grant_lease.h>
#include <libraries/proxy/load_reports.h>
#include <libraries/proxy/overload_guard.h>
#include <libraries/proxy/refusal_policy.h>
#include <libraries/proxy/relay_policy.h>
#include <libraries/proxy/request.h>
#include <libraries/proxy/request_quarantine.h>
#include <libraries/proxy/rollout_observer.h>
#include <libraries/proxy/route_table.h>
#include <libraries/proxy/startup_policy.h>
#include <libraries/proxy/stop_policy.h>
#include <libraries/proxy/subscriber.h>
#include <libraries/proxy/version_policy.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace catkinlanding::proxy {

/// The document by which an instance decides requests.
struct document_status {
  std::uint64_t revision = 0;
  /// Identifies its content.
  std::uint64_t fingerprint = 0;
  /// How long it has been in force; nothing before the first document.
  std::optional<base::duration> age;
  /// How long ago the leader last sent anything; nothing if it never has.
  std::optional<base::duration> leader_age;
};

/// Routing logic of an entry instance. Selects the endpoint for each request, decides whether to
/// retry after a failure, and determines the outcome that is reported to the caller. Performs no
/// I/O: the caller of this class carries out its decisions and reports the results back.
class router {
public:
  struct options {
    base::availability_zone_id zone;
    proxy::subscriber::options subscriber;
    document_receiver::options documents;
    endpoint_table::options endpoints;
    version_policy::options versions;
    endpoint_notices::options notices;
    overload_guard::options overload;
    request_quarantine::options quarantine;
    attempt_monitor::options attempts;
    /// Timeout of a request whose caller specifies none.
    base::duration default_timeout = std::chrono::seconds(60);
    /// Time between two announcements of an endpoint.
    base::duration announcement_interval = std::chrono::seconds(1);
    /// An instance that has found no leader by this time after its start accepts the last known
    /// state of a control instance. Longer than an election takes.
    base::duration isolation_timeout = std::chrono::milliseconds(1000);
    relay_policy::options relays;
    std::uint64_t seed = 0;
  };

  explicit router(options options);

  // Requests.

  /// The time that a request may take whose caller states this one, or none, before its route is
  /// known.
  [[nodiscard]] base::duration time_of(std::optional<base::duration> caller_timeout) const {
    return std::min(caller_timeout.value_or(m_options.default_timeout), m_options.default_timeout);
  }
  /// Returns until when the request may wait during startup for the first document or for an
  /// endpoint of its service. Returns nothing if it has no need to wait or may not wait any longer.
  [[nodiscard]] std::optional<base::monotonic_time> wait_for_state(request_facts const& facts,
                                                                   base::monotonic_time now) const;
  /// The refusal of a request for what its header says, so that its body need not be read. Nothing
  /// if it may be served, or if the first document is still missing.
  [[nodiscard]] std::optional<refusal> refuse_by_header(request_facts const& facts) const;
  [[nodiscard]] decision begin(request_number number, request_facts facts,
                               base::monotonic_time now);
  /// Records that the current attempt's endpoint began a successful answer. Returns the attempt
  /// that is to replace it if the model's confidence is too low: the answer is held back until the
  /// other endpoint accepts the request, or can't be waited for any longer.
  [[nodiscard]] std::optional<attempt>
  note_answer(request_number number, std::optional<double> confidence, base::monotonic_time now);
  /// Takes the latest decision on the request's model, for the log; nothing if none was made since.
  [[nodiscard]] std::optional<cascade::choice> take_model_choice(request_number number);
  /// Records what an endpoint states about itself in the header of its answer to an attempt: the
  /// current one, unless the endpoint is that of the held one. Returns what is new.
  std::vector<notice_change> note_notice(request_number number, endpoint_notice const& notice,
                                         base::monotonic_time now,
                                         base::endpoint_id const& endpoint = {});
  /// Records that more data of the current attempt's response arrived. The endpoint is alive then,
  /// but only whole events show that the attempt gets on.
  void note_progress(request_number number, base::monotonic_time now);
  /// Records that this many further events of the current attempt's stream arrived.
  void note_events(request_number number, std::size_t count, base::monotonic_time now);
  /// Records that what arrived was written to the caller, so that the next event can be read.
  void note_written(request_number number, base::monotonic_time now);
  /// Returns when the current attempt is considered stalled if no more data arrives; while another
  /// one is held, until when the current one is waited for. Returns nothing if no other attempt
  /// could follow it, or while a request without a response may be queued on a fully loaded
  /// endpoint.
  [[nodiscard]] std::optional<base::monotonic_time> stall_deadline(request_number number) const;
  /// What the current attempt has come to, for the log; nothing if none was begun.
  [[nodiscard]] std::optional<attempt_report> report_attempt(request_number number,
                                                             base::monotonic_time now) const;

  // Replacing an attempt. The one that is to be replaced is held until the other is accepted, as
  // the other endpoint may reject the request.

  /// Returns what is asked to take the place of the current attempt, which has stalled; nothing if
  /// it has not, or if nothing else is to be had. The attempt is held from then on.
  [[nodiscard]] std::optional<replacement> try_replace_stalled(request_number number,
                                                               base::monotonic_time now);
  /// Records that the replacement was accepted. The held attempt must be aborted.
  void accept_replacement(request_number number, base::monotonic_time now);
  /// Records that the replacement failed. The held attempt is the current one again.
  void fail_replacement(request_number number, attempt_failure failure, base::monotonic_time now);
  /// Records that the replacement is aborted, without a failure of its own, because the held
  /// attempt gets on or the request ends. The held attempt is the current one again.
  void withdraw_replacement(request_number number, base::monotonic_time now);
  /// Records that the held attempt failed by itself. Only the replacement is left.
  void fail_held(request_number number, attempt_failure failure, base::monotonic_time now);

  // Requests that are passed on to another instance.

  /// Records what the instance to which the request was passed on said with its answer.
  void note_relay_tally(request_number number, relay_tally const& tally);
  /// Leaves attempts of a request to the instance that passed it on, and returns what that one is
  /// told with the answer that its caller is about to receive.
  [[nodiscard]] relay_tally hand_over(request_number number);

  /// What only instances with the same document know, by which they prove that a request was passed
  /// on.
  [[nodiscard]] std::uint64_t relay_secret() const { return m_routes->fingerprint(); }

  /// Gives back the slot of an endpoint whose whole answer has arrived, while its caller has not
  /// read it. Does nothing while another attempt is held.
  void release_slot(request_number number);
  /// Records that the request was answered completely and with success.
  void note_completed(request_number number, base::monotonic_time now);
  /// Records that the current attempt failed and decides what follows. `was_delivered` tells
  /// whether the caller has already received a part of the response.
  [[nodiscard]] decision fail(request_number number, attempt_failure failure, bool was_delivered,
                              base::monotonic_time now);
  void end(request_number number, base::monotonic_time now);

  // The end of this instance.

  /// The instance stops, and its last answers end by this time.
  void stop_at(base::monotonic_time deadline) { m_stop.stop_at(deadline); }
  /// Until when a request that is being read may still begin, as far as is known now. While the
  /// instance stops, not beyond its end.
  [[nodiscard]] base::monotonic_time latest_begin(request_facts const& facts,
                                                  base::monotonic_time now) const;
  /// The refusal of a request that could not be read in time.
  [[nodiscard]] refusal refuse_unread() const { return m_refusals.make(refusal_kind::stopping); }

  // Reachability of the endpoints.

  /// Whether this instance reaches no endpoint, and passes requests on to others.
  [[nodiscard]] bool is_cut_off() const { return m_relays.reachability().is_cut_off(); }
  /// Whether other instances are known to pass requests on to.
  [[nodiscard]] bool has_relay_peers() const { return m_relays.has_peers(); }
  /// The address of an endpoint to which a connection is to be tried, while none is reached.
  [[nodiscard]] std::optional<base::address> take_probe(base::monotonic_time now);
  /// Records that an endpoint accepted a connection.
  void note_reached();

  // Synchronization with the control instances.

  void use_seeds(std::vector<base::instance_id> seeds) { m_subscriber.use_seeds(std::move(seeds)); }

  /// Returns the messages to send now to keep the routing state up to date.
  [[nodiscard]] std::vector<outgoing> tick(base::monotonic_time now);
  /// The result of processing a message from another instance.
  struct receive_result {
    /// Whether the document or the endpoints changed.
    bool is_changed = false;
    /// Whether the endpoints and rollouts of an update were ignored, as newer ones are known.
    bool is_outdated = false;
    std::vector<outgoing> messages;
  };

  [[nodiscard]] receive_result receive(base::instance_id const& from, message const& message,
                                       base::monotonic_time now);

  [[nodiscard]] caller_limits const& limits() const { return m_routes->document().limits; }
  [[nodiscard]] std::uint64_t document_revision() const { return m_routes->revision(); }
  /// The document by which requests are decided now.
  [[nodiscard]] document_status status_of_document(base::monotonic_time now) const;
  [[nodiscard]] known_state const& known() const { return m_subscriber.known(); }
  [[nodiscard]] std::size_t endpoint_count() const { return m_endpoints.size(); }
  /// A request that has begun; nullptr once it has ended.
  [[nodiscard]] active_request const* find(request_number number) const;
  /// The name of a request's route; empty if it has none.
  [[nodiscard]] std::string route_name(request_facts const& facts) const;
  [[nodiscard]] std::size_t active_requests() const { return m_requests.size(); }
  [[nodiscard]] bool is_connected(base::monotonic_time now) const {
    return m_subscriber.is_connected(now);
  }
  /// Whether the platform's load balancer should send requests to this instance.
  [[nodiscard]] bool is_ready() const { return m_routes->revision() != 0; }

private:
  /// Creates a subscription that requests missing state from `upstream` and reports this instance's
  /// measurements.
  [[nodiscard]] outgoing make_subscription(base::instance_id const& upstream,
                                           base::monotonic_time now);
  /// The request for the next part of a document from the leader, if one is due.
  [[nodiscard]] std::vector<outgoing> request_document(base::monotonic_time now);
  /// Whether the document, or a ready endpoint for the request, is missing.
  [[nodiscard]] bool is_missing_state_for(request_facts const& facts) const;
  /// Chooses the model that the request is sent to first, if it needs one.
  void choose_model(active_request& request, base::monotonic_time now) const;
  [[nodiscard]] decision attempt_next(active_request& request, base::monotonic_time now);
  /// Begins an attempt at one of the endpoints that `filter` lets through; nothing if there is
  /// none.
  [[nodiscard]] std::optional<attempt>
  begin_attempt(active_request& request, endpoint_filter const& filter, base::monotonic_time now);
  /// The endpoints among which the models of a request are chosen.
  [[nodiscard]] attempt_monitor::service_endpoints endpoints_for(active_request const& request,
                                                                 base::monotonic_time now) const;
  /// Holds the current attempt, and begins one with the model beside it. Nothing if there is no
  /// endpoint for it; the current attempt is not held then.
  [[nodiscard]] std::optional<attempt> begin_beside(active_request& request, held_attempt held,
                                                    std::optional<base::model_id> model,
                                                    base::monotonic_time now);
  /// Whether the endpoints that ended under requests like this one allow a further attempt.
  [[nodiscard]] bool may_try_another(active_request const& request, base::monotonic_time now) const;
  /// The request, of which an attempt is held.
  [[nodiscard]] active_request& find_held(request_number number);
  /// Makes the held attempt the current one again.
  static void restore_held(active_request& request, base::monotonic_time now);
  /// Ends the held attempt as failed.
  void drop_held(active_request& request, attempt_failure failure, base::monotonic_time now);
  /// What an attempt of the request that begins now takes, for the decision whether it does.
  [[nodiscard]] stop_policy::work work_of(active_request const& request,
                                          base::monotonic_time now) const;
  /// Whether an attempt that begins now is expected to end before a stopping instance does.
  [[nodiscard]] bool may_begin_attempt(active_request const& request,
                                       base::monotonic_time now) const;
  /// The same for an attempt of the largest model.
  [[nodiscard]] bool may_escalate(active_request const& request, base::monotonic_time now) const;
  [[nodiscard]] refusal refuse_stopping(active_request const& request) const;
  /// What may follow a failed attempt of a request.
  struct next_attempt {
    /// Whether the caller has received a part of the response.
    bool was_delivered = false;
    /// Whether it needs a retry, as the request has arrived at an endpoint before.
    bool needs_retry = true;
  };
  /// Decides to send the request once more. Nothing if it may not be, or if it may have been
  /// executed and nothing else is to be had.
  [[nodiscard]] std::optional<decision> try_again(active_request& request, next_attempt next,
                                                  base::monotonic_time now);
  /// Decides what follows when the instance to which the request was passed on has failed.
  [[nodiscard]] decision fail_relay(active_request& request, attempt_failure failure,
                                    base::monotonic_time now);
  [[nodiscard]] endpoint_filter make_filter(base::monotonic_time now) const;
  /// The refusal of a request for which no endpoint can be chosen.
  [[nodiscard]] refusal refuse_unsent(active_request const& request, endpoint_filter const& filter,
                                      base::monotonic_time now);
  /// Records that the current attempt's connection ended before the answer was complete.
  void note_ending(active_request& request, base::monotonic_time now);
  /// The refusal of a request that no endpoint can have executed.
  [[nodiscard]] refusal refuse(active_request const& request, refusal_kind kind,
                               std::optional<availability> const& endpoints,
                               base::monotonic_time now);
  /// The refusal that reflects whether the request may have been executed and whether its time is
  /// over.
  [[nodiscard]] refusal final_refusal(active_request const& request, base::monotonic_time now);
  void note_failure(active_request& request, attempt_failure failure, base::monotonic_time now);
  void finish_attempt(active_request& request);
  /// Frees what the attempt takes up at its endpoint.
  void release(active_request const& request, attempt_state& attempt);
  /// Applies all of an update but its document.
  bool apply(update const& update, base::monotonic_time now);
  /// Puts the document of an update in force, or requests it, if it is newer than the current one.
  /// It has a revision of its own, so that it may be overtaken by changes of the endpoints.
  bool apply_document(update const& update, base::monotonic_time now);
  /// Puts the document in force if it is newer than the current one. Returns whether it is.
  bool apply(document const& document, base::monotonic_time now);
  bool apply(last_known_state const& state, base::monotonic_time now);

  options m_options;
  base::random_generator m_random;
  subscriber m_subscriber;
  document_receiver m_document_receiver;
  std::shared_ptr<route_table const> m_routes = std::make_shared<route_table const>();
  std::optional<base::monotonic_time> m_document_since;
  endpoint_table m_endpoints;
  load_reports m_reports;
  grant_lease m_grant_lease;
  version_policy m_versions;
  endpoint_notices m_notices;
  overload_guard m_overload;
  request_quarantine m_quarantine;
  refusal_policy m_refusals;
  startup_policy m_startup;
  stop_policy m_stop;
  std::optional<base::monotonic_time> m_started_at;
  attempt_monitor m_attempts;
  std::unordered_map<request_number, active_request> m_requests;
  rollout_observer m_observer;
  relay_policy m_relays;
};

} // namespace catkinlanding::proxy
