#pragma once

#include <libraries/consensus/replica.h>
#include <libraries/proxy/call.h>
#include <libraries/proxy/endpoint_registry.h>
#include <libraries/proxy/rollout_evaluator.h>
#include <libraries/proxy/subscriber.h>

#include <map>
#include <optional>
#include <vector>

namespace catkinlanding::proxy {

/// Names one call until it is answered.
using call_number = std::uint64_t;

struct call_answer {
  call_number number = 0;
  call_reply reply;
};

/// What those on call want to read of a control instance.
enum class control_event : std::uint8_t {
  leadership_won,
  leadership_lost,
  document_applied,
  rollout_changed,
  endpoint_changed,
  voters_changed,
  instance_joined,
  instance_lost,
};

struct control_note {
  control_event event = control_event::leadership_won;
  /// The instance, endpoint or service that it is about.
  std::string subject;
  std::string detail;
  std::uint64_t number = 0;
};

/// What one event makes a control instance do.
struct control_effects {
  consensus::effects log;
  std::vector<outgoing> messages;
  std::vector<call_answer> answers;
  std::vector<control_note> notes;
};

/// The control role: its place in the replicated log, the state made from it, the registry of
/// endpoints, and what it tells the other instances.
class control {
public:
  struct options {
    /// All instances of one deployment are a few milliseconds apart, so that a leader is missed,
    /// and another one elected, in well under a second.
    consensus::replica::options replica{.heartbeat_interval = std::chrono::milliseconds(80),
                                        .election_timeout = std::chrono::milliseconds(350),
                                        .election_jitter = std::chrono::milliseconds(250),
                                        .lease_duration = std::chrono::milliseconds(280)};
    /// Whether this instance makes the first group where its disk is empty and nobody leads.
    bool is_founder = false;
    endpoint_registry::options registry;
    rollout_evaluator::options evaluator;
    /// Bytes of commands after which the log is replaced by a snapshot.
    std::size_t bytes_per_snapshot = 512 * 1024;
    /// A subscriber without a word for so long is told nothing more.
    base::duration subscriber_timeout = std::chrono::seconds(3);
    /// After so long as leader, every live endpoint was heard.
    base::duration registry_warmup = std::chrono::seconds(6);
    /// A proposal that no quorum confirmed by then is answered as not known.
    base::duration call_timeout = std::chrono::milliseconds(900);
    /// A voter that was silent for so long yields its place to an instance that asks for one.
    base::duration voter_timeout = std::chrono::seconds(5);
    std::size_t max_voters = 7;
    /// Made-up senders must not fill the memory.
    std::size_t max_tracked_senders = 4096;
    /// The same document is not pushed again to a subscriber before.
    base::duration push_interval = std::chrono::milliseconds(500);
    /// An order of a rollout that ended more recently is a resent one.
    base::duration resend_window = std::chrono::seconds(10);
  };

  [[nodiscard]] static control create(options options, consensus::recovered_state const& recovered,
                                      base::monotonic_time now);

  void receive(base::instance_id const& from, message const& message, base::monotonic_time now,
               control_effects& out);
  void receive(call_number number, call_request const& request, base::monotonic_time now,
               control_effects& out);
  void tick(base::monotonic_time now, control_effects& out);
  void complete_write(consensus::write_id id, base::monotonic_time now, control_effects& out);
  void resign(base::monotonic_time now, control_effects& out);
  /// Other control instances that the settings name from now on.
  void use_seeds(std::vector<base::instance_id> const& seeds);

  [[nodiscard]] replicated_state const& state() const { return m_state; }
  [[nodiscard]] consensus::replica const& replica() const { return m_replica; }
  [[nodiscard]] endpoint_registry const& registry() const { return m_registry; }

private:
  struct downstream {
    known_state known;
    bool is_entry = false;
    base::monotonic_time last_request_at{};
    base::monotonic_time document_sent_at{};
    std::uint64_t document_sent = 0;
    std::vector<endpoint_load> loads;
  };

  struct pending_call {
    call_number number = 0;
    consensus::term_number term = 0;
    base::monotonic_time expires_at{};
  };

  control(options options, consensus::recovered_state const& recovered, base::monotonic_time now);

  void handle(base::instance_id const& from, consensus::message const& message,
              base::monotonic_time now, control_effects& out);
  void handle(base::instance_id const& from, subscription const& subscription,
              base::monotonic_time now, control_effects& out);
  void handle(base::instance_id const& from, update const& update, base::monotonic_time now,
              control_effects& out);
  void handle(base::instance_id const& from, referral const& referral, base::monotonic_time now,
              control_effects& out);

  void handle(base::instance_id const& from, last_known_state const& state,
              base::monotonic_time now, control_effects& out);

  /// Answers a subscription that only a leader could answer in full.
  void send_referral(base::instance_id const& from, subscription const& subscription,
                     control_effects& out) const;

  /// An instance asks for a place in the group.
  void process_request(consensus::join_request const& request, base::instance_id const& from,
                       base::monotonic_time now, control_effects& out);

  [[nodiscard]] call_reply reply_to(read_document const& request) const;
  [[nodiscard]] call_reply reply_to(read_rollout const& request, base::monotonic_time now) const;
  [[nodiscard]] call_reply reply_to(announce_endpoint const& request, base::monotonic_time now,
                                    control_effects& out);
  [[nodiscard]] call_reply reply_to(withdraw_endpoint const& request, base::monotonic_time now,
                                    control_effects& out);
  /// Answers what needs no new entry of the log; otherwise proposes one.
  void process_request(call_number number, replace_document const& request,
                       base::monotonic_time now, control_effects& out);
  void process_request(call_number number, start_rollout const& request, base::monotonic_time now,
                       control_effects& out);
  void propose(call_number number, command const& command, base::monotonic_time now,
               control_effects& out);

  [[nodiscard]] bool is_serving_leader(base::monotonic_time now) const;
  /// The leader that this instance knows, unless it is itself.
  [[nodiscard]] std::optional<base::instance_id> other_leader() const;
  void note_sender(base::instance_id const& from, base::monotonic_time now);
  /// Follows up what the replica did: role, committed entries, snapshots.
  void process_replica_output(base::monotonic_time now, control_effects& out);
  void note_role(base::monotonic_time now, control_effects& out);
  void note_voters(control_effects& out);
  void apply(consensus::log_entry const& entry, base::monotonic_time now, control_effects& out);
  void restore(consensus::snapshot const& snapshot);
  void manage_voters(base::monotonic_time now, control_effects& out);
  void advance_rollouts(base::monotonic_time now, control_effects& out);
  void expire_calls(base::monotonic_time now, control_effects& out);
  void drop_silent_downstreams(base::monotonic_time now, control_effects& out);
  void push_changes(base::monotonic_time now, control_effects& out);
  void push_to(base::instance_id const& to, downstream& downstream, bool with_loads,
               base::monotonic_time now, control_effects& out);
  [[nodiscard]] std::vector<endpoint_load> loads_without(base::instance_id const& instance) const;
  void note_endpoint(base::endpoint_id const& id, control_effects& out) const;

  options m_options;
  consensus::replica m_replica;
  replicated_state m_state;
  endpoint_registry m_registry;
  subscriber m_subscriber;
  rollout_evaluator m_evaluator;
  consensus::log_index m_applied = 0;
  std::size_t m_bytes_applied = 0;
  bool m_was_leader = false;
  base::monotonic_time m_leader_since{};
  std::vector<consensus::voter> m_noted_voters;
  std::map<base::instance_id, downstream> m_downstreams;
  std::map<consensus::log_index, pending_call> m_pending_calls;
  /// Control instances that want a place in the group.
  std::map<base::instance_id, base::monotonic_time> m_applicants;
  std::map<base::instance_id, base::monotonic_time> m_last_message_at;
  /// What was last pushed to everybody.
  known_state m_last_pushed;
};

} // namespace catkinlanding::proxy
