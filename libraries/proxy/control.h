#pragma once

#include <libraries/consensus/replica.h>
#include <libraries/evacuations/proposals.h>
#include <libraries/proxy/announcement_relay.h>
#include <libraries/proxy/call.h>
#include <libraries/proxy/control_event.h>
#include <libraries/proxy/election_time.h>
#include <libraries/proxy/endpoint_registry.h>
#include <libraries/proxy/group_monitor.h>
#include <libraries/proxy/pending_calls.h>
#include <libraries/proxy/rate_coordinator.h>
#include <libraries/proxy/rejection_limits.h>
#include <libraries/proxy/request_quarantine.h>
#include <libraries/proxy/rollout_evaluator.h>
#include <libraries/proxy/state_publisher.h>
#include <libraries/proxy/subscriber.h>
#include <libraries/proxy/voter_manager.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace catkinlanding::proxy {

struct call_answer {
  call_number number = 0;
  call_reply reply;
};

/// The actions that result from one input to a control instance.
struct control_effects {
  consensus::effects log;
  std::vector<outgoing> messages;
  std::vector<call_answer> answers;
  std::vector<control_event_details> events;
};

/// Logic of a control instance: participates in the replicated log, maintains the state derived
/// from it and the endpoint registry, manages rollouts, and distributes state to the other
/// instances. Performs no I/O.
class control {
public:
  struct options {
    consensus::replica::options replica{.heartbeat_interval = std::chrono::milliseconds(80),
                                        .election_timeout = election_timeout,
                                        .election_jitter = election_jitter,
                                        .lease_duration = std::chrono::milliseconds(280)};
    endpoint_registry::options registry;
    rollout_evaluator::options evaluator;
    rate_coordinator::options rates;
    request_quarantine::options quarantine;
    /// Size of applied commands, in bytes, after which the log is compacted into a snapshot.
    std::size_t bytes_per_snapshot = 512 * 1024;
    state_publisher::options publisher;
    /// Time after winning leadership by which every live endpoint has announced itself.
    base::duration registry_warmup = std::chrono::seconds(6);
    pending_calls::options calls;
    voter_manager::options voters;
    announcement_relay::options relay;
    /// Reads the rates of cold endpoints from the operator's text; without it there are no limits.
    warmup::rate_reader read_cold_rates;
  };

  [[nodiscard]] static control create(options options, consensus::recovered_state const& recovered,
                                      base::monotonic_time now);

  void receive(base::instance_id const& from, message const& message, base::monotonic_time now,
               control_effects& out);
  void receive(call_number number, call_request const& request, base::monotonic_time now,
               control_effects& out);
  void tick(base::monotonic_time now, control_effects& out);
  void complete_write(consensus::write_id id, base::monotonic_time now, control_effects& out);
  /// Prepares for a planned stop: gives up leadership, and tells the next leader so.
  void resign(base::monotonic_time now, control_effects& out);
  /// Treats all endpoints of the zone as cold until they announce themselves again. Called when a
  /// zone that was out of use is used again, as what is known of its endpoints is old.
  void await_announcements(base::availability_zone_id const& zone);
  /// Replaces what the deployment has to tolerate, as the settings state it.
  void use_tolerated_losses(std::optional<voters::tolerated_losses> losses) {
    m_voters.use_tolerated_losses(losses);
  }
  /// Replaces the other control instances that are named in the settings.
  void use_seeds(std::vector<base::instance_id> const& seeds);

  [[nodiscard]] replicated_state const& state() const { return m_state; }
  [[nodiscard]] consensus::replica const& replica() const { return m_replica; }
  [[nodiscard]] endpoint_registry const& registry() const { return m_registry; }
  [[nodiscard]] announcement_relay const& relay() const { return m_relay; }
  [[nodiscard]] warmup::cold_endpoints const& cold_endpoints() const { return m_rates.cold(); }

private:
  control(options options, consensus::recovered_state const& recovered, base::monotonic_time now);

  void handle(base::instance_id const& from, consensus::message const& message,
              base::monotonic_time now, control_effects& out);
  void handle(base::instance_id const& from, subscription const& subscription,
              base::monotonic_time now, control_effects& out);
  void handle(base::instance_id const& from, update const& update, base::monotonic_time now,
              control_effects& out);
  void handle(base::instance_id const& from, referral const& referral, base::monotonic_time now,
              control_effects& out);

  void handle(base::instance_id const& from, departure_notice const& /*notice*/,
              base::monotonic_time now, control_effects& /*out*/) {
    m_voters.note_departure(from, now);
  }
  void handle(base::instance_id const& from, document_request const& request,
              base::monotonic_time now, control_effects& out);
  // Used by entry instances only.
  void handle(base::instance_id const& /*from*/, last_known_state const& /*state*/,
              base::monotonic_time /*now*/, control_effects& /*out*/) const {}
  void handle(base::instance_id const& /*from*/, document_part const& /*part*/,
              base::monotonic_time /*now*/, control_effects& /*out*/) const {}
  void handle(base::instance_id const& from, confirmation const& confirmation,
              base::monotonic_time /*now*/, control_effects& /*out*/) {
    m_publisher.downstreams().note_known(from, confirmation.known);
  }

  void handle(base::instance_id const& from, relayed_announcements const& relayed,
              base::monotonic_time now, control_effects& out);

  /// Creates a subscription that requests missing state from `upstream`.
  [[nodiscard]] outgoing make_subscription(base::instance_id const& upstream);
  /// Sends an update or a part of a document to an instance that is subscribed.
  void send_state(outgoing state, control_effects& out) const;
  /// Answers a subscription while not leading, naming the leader if it is known. An entry instance
  /// without a document also receives the last known state if there is no leader.
  void send_referral(base::instance_id const& from, subscription const& subscription,
                     base::monotonic_time now, control_effects& out);

  /// Handles a request to join the group of voters, forwarding it to the leader.
  void process_request(consensus::join_request const& request, base::instance_id const& from,
                       base::monotonic_time now, control_effects& out);

  /// Answer the call at once if it changes nothing; otherwise propose a log entry.
  void process_request(call_number number, replace_document const& request,
                       base::monotonic_time now, control_effects& out);
  void process_request(call_number number, start_rollout const& request, base::monotonic_time now,
                       control_effects& out);
  void process_request(call_number number, announce_endpoint const& request,
                       base::monotonic_time now, control_effects& out);
  void process_request(call_number number, withdraw_endpoint const& request,
                       base::monotonic_time now, control_effects& out);
  /// Takes a zone out of use, or puts it back into use.
  void process_evacuation(call_number number, base::availability_zone_id const& zone,
                          bool is_out_of_use, base::monotonic_time now, control_effects& out);
  /// Whether the call is accepted although another instance leads: an announcement that changes
  /// nothing which its endpoint relies on.
  [[nodiscard]] bool accept_for_leader(call_request const& request);
  /// Passes the accepted announcements on to the leader.
  void relay_announcements(base::monotonic_time now, control_effects& out);
  announcement_outcome register_announcement(endpoint_announcement const& announcement,
                                             base::monotonic_time now, control_effects& out);
  static void answer(call_number number, call_reply reply, control_effects& out) {
    out.answers.push_back({number, std::move(reply)});
  }
  /// The reply to a call that is in effect, and that names this instance for further calls.
  [[nodiscard]] call_reply done_here() const {
    return {.kind = reply_kind::done, .leader = m_replica.self().instance};
  }
  /// Answers the call when the departure is in the log, and the entry instances know of it.
  void acknowledge(call_number number, endpoint_departure const& departure,
                   base::monotonic_time now, control_effects& out);
  /// Whether the first change of the deployment is to be refused for now, as too few disks would
  /// hold it.
  [[nodiscard]] bool refuses_first_change(base::monotonic_time now, control_effects& out);
  /// Proposes a log entry, and answers the call when it is committed. Returns false if the log
  /// takes none; the call is answered then.
  bool propose(call_number number, command const& command, base::monotonic_time now,
               control_effects& out);

  /// Processes the results of replica operations: role changes, committed entries and snapshots.
  void process_replica_output(base::monotonic_time now, control_effects& out);
  /// Begins a term as the leader, or ends it.
  void change_role(base::monotonic_time now);
  void apply(consensus::log_entry const& entry, base::monotonic_time now, control_effects& out);
  void restore(consensus::snapshot const& snapshot);
  /// Applies a committed order for a zone: updates the registry, logs the change and, at the
  /// leader, treats the endpoints of a zone that is put back as cold.
  void apply_order(evacuations::order const& order, control_effects& out);
  /// Answers the call that asked for the order, if there is one, once the entry instances know.
  void answer_order(evacuations::order const& order, std::optional<call_number> pending,
                    base::monotonic_time now, control_effects& out);
  /// Marks the endpoint in the registry according to its departure in the log, if there is one.
  void apply_departure(base::endpoint_id const& id, control_effects& out);
  void manage_voters(base::monotonic_time now, control_effects& out);
  /// Tells instances that lost their places who leads.
  void inform_former_voters(base::monotonic_time now, control_effects& out);
  void announce_departure(control_effects& out) const;
  void advance_rollouts(base::monotonic_time now, control_effects& out);
  void answer_pending_calls(base::monotonic_time now, control_effects& out);
  void drop_silent_downstreams(base::monotonic_time now, control_effects& out);
  void push_changes(base::monotonic_time now, control_effects& out);
  /// What this instance publishes as the leader.
  [[nodiscard]] state_publisher::source published(base::monotonic_time now);
  void note_endpoint(base::endpoint_id const& id, control_effects& out) const;

  void note_cold(endpoint_announcement const& announcement, base::monotonic_time now);
  /// Takes the rates from the document in force.
  void read_cold_rates();
  /// Forgets the cold endpoints that became warm or ended, and updates what the division of their
  /// rates depends on.
  void update_cold_endpoints(base::monotonic_time now, control_effects& out);
  void log_cold_endpoints(base::monotonic_time now, control_effects& out);
  /// Leaves out the cold endpoints that have a limit: the message has no grants, and its receiver
  /// knows no leader to get them from.
  void withhold_cold(last_known_state& state, base::monotonic_time now) const;

  options m_options;
  consensus::replica m_replica;
  replicated_state m_state;
  endpoint_registry m_registry;
  subscriber m_subscriber;
  /// Number of the last subscription since the start.
  std::uint64_t m_last_subscription = 0;
  rollout_evaluator m_evaluator;
  rate_coordinator m_rates;
  /// The cold endpoints of each service when they were last logged.
  std::map<base::service_id, std::size_t> m_cold_logged;
  base::monotonic_time m_cold_logged_at{};
  /// The evidence of all entry instances.
  request_quarantine m_quarantine;
  /// The rejection limits that all entry instances know.
  rejection_limits m_rejection_limits{rejection_limits::options{}};
  consensus::log_index m_applied = 0;
  std::size_t m_bytes_applied = 0;
  base::monotonic_time m_leader_since{};
  group_monitor m_monitor;
  state_publisher m_publisher;
  pending_calls m_calls;
  voter_manager m_voters;
  announcement_relay m_relay;
  /// The services with an order for a rollout in the log that is not committed yet. What becomes of
  /// a further order depends on it.
  std::set<base::service_id> m_ordered_services;
  evacuations::proposals m_proposed_orders;
  /// Whether the log had a change: a document, a rollout, a departure or an order for a zone.
  bool m_has_changes = false;
  /// Whether this leader has refused a change for want of voters.
  bool m_has_awaited_voters = false;
  bool m_is_stopping = false;
};

} // namespace catkinlanding::proxy
