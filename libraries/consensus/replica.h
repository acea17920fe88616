#pragma once

#include <libraries/base/random.h>
#include <libraries/base/time.h>
#include <libraries/consensus/effects.h>

#include <tl/expected.hpp>

#include <deque>
#include <map>
#include <set>

namespace catkinlanding::consensus {

enum class role : std::uint8_t { follower, pre_candidate, candidate, leader };
/// Greater numbers are refused when they are decoded.
constexpr role last_enumerator(role /*any*/) {
  return role::leader;
}

enum class propose_error {
  not_leader,
  /// Too many entries wait for a quorum.
  overloaded,
  /// Another change of the configuration is not committed yet.
  configuration_pending,
  /// The log is not empty, so it belongs to a deployment already.
  already_initialised,
};

/// One member of the replicated log. It holds no disk and no socket: events go in, effects come
/// out.
class replica {
public:
  struct options {
    voter self;
    /// Control instances that may know the leader.
    std::vector<base::instance_id> peers;
    std::uint64_t seed = 0;
    base::duration heartbeat_interval = std::chrono::milliseconds(150);
    /// A voter that heard from a leader this recently helps no other candidate.
    base::duration election_timeout = std::chrono::milliseconds(750);
    /// A random part, up to this much, is added to each election timeout.
    base::duration election_jitter = std::chrono::milliseconds(500);
    /// Shorter than the election timeout, to allow for clocks that run at unlike speeds.
    base::duration lease_duration = std::chrono::milliseconds(600);
    /// How long a leader that resigns waits for a successor with its whole log.
    base::duration leadership_transfer_timeout = std::chrono::milliseconds(500);
    std::size_t max_append_bytes = 256 * 1024;
    std::size_t snapshot_chunk_bytes = 256 * 1024;
    std::size_t max_uncommitted_entries = 4096;
  };

  [[nodiscard]] static replica create(options options, recovered_state recovered,
                                      base::monotonic_time now);

  /// Founds a deployment with this instance as its only voter; the wanted ones join by and by.
  [[nodiscard]] tl::expected<void, propose_error>
  initialise(std::vector<base::instance_id> desired_voters, base::monotonic_time now, effects& out);

  void receive(base::instance_id const& from, message const& message, base::monotonic_time now,
               effects& out);
  void tick(base::monotonic_time now, effects& out);
  void complete_write(write_id id, base::monotonic_time now, effects& out);

  [[nodiscard]] tl::expected<log_index, propose_error>
  propose(std::string command, base::monotonic_time now, effects& out);

  /// Changes which instances should be voters. The leader then adds and removes one at a time.
  [[nodiscard]] tl::expected<log_index, propose_error>
  propose_desired_voters(std::vector<base::instance_id> desired_voters, base::monotonic_time now,
                         effects& out);

  /// Replaces the log up to the applied index by the state of the state machine.
  void compact(log_index index, std::string state, effects& out);

  /// Control instances that may know the leader, from now on.
  void set_peers(std::vector<base::instance_id> peers) { m_options.peers = std::move(peers); }

  /// Gives up leadership before a planned stop. Takes no more proposals, waits a little until a
  /// voter holds the whole log, and lets that one campaign at once.
  void resign(base::monotonic_time now, effects& out);

  [[nodiscard]] consensus::role role() const { return m_role; }
  [[nodiscard]] term_number term() const { return m_hard_state.term; }
  [[nodiscard]] std::optional<voter> const& leader() const { return m_leader; }
  [[nodiscard]] voter const& self() const { return m_options.self; }
  [[nodiscard]] log_index commit_index() const { return m_commit_index; }
  [[nodiscard]] log_index last_index() const { return m_snapshot.index + m_log.size(); }
  [[nodiscard]] log_index snapshot_index() const { return m_snapshot.index; }
  [[nodiscard]] std::size_t log_size() const { return m_log.size(); }
  [[nodiscard]] configuration const& current_configuration() const { return m_configuration; }

  /// Whether no other instance can have become leader by now. A leader that was frozen finds its
  /// lease ended in its first instant awake.
  [[nodiscard]] bool holds_lease(base::monotonic_time now) const;

  /// Whether a stop of this instance leaves nobody without a leader: another one leads, or there is
  /// no other voter.
  [[nodiscard]] bool is_safe_to_stop() const;

private:
  struct progress {
    log_index next_index = 1;
    log_index match_index = 0;
    base::monotonic_time last_sent{};
    base::monotonic_time last_contact{};
    /// The latest echoed clock, from which the lease runs.
    base::monotonic_time acknowledged_sent_at{};
    std::uint64_t snapshot_offset = 0;
    bool is_receiving_snapshot = false;
  };

  struct pending_write {
    write_id id = 0;
    log_index last_index = 0;
    term_number term = 0;
    std::vector<outgoing> messages;
    bool is_self_vote = false;
  };

  struct partial_snapshot {
    log_index index = 0;
    term_number leader_term = 0;
    std::string bytes;
  };

  explicit replica(options options, recovered_state recovered, base::monotonic_time now);

  void handle(base::instance_id const& from, vote_request const& request, base::monotonic_time now,
              effects& out);
  void handle(base::instance_id const& from, vote_response const& response,
              base::monotonic_time now, effects& out);
  void handle(base::instance_id const& from, append_request const& request,
              base::monotonic_time now, effects& out);
  void handle(base::instance_id const& from, append_response const& response,
              base::monotonic_time now, effects& out);
  void handle(base::instance_id const& from, snapshot_request const& request,
              base::monotonic_time now, effects& out);
  void handle(base::instance_id const& from, snapshot_response const& response,
              base::monotonic_time now, effects& out);
  void handle(base::instance_id const& from, join_request const& request, base::monotonic_time now,
              effects& out);
  void handle(base::instance_id const& from, leadership_transfer const& request,
              base::monotonic_time now, effects& out);

  void adopt_term(term_number term, base::monotonic_time now);
  /// Adopts the term of an answer, and has it written.
  void persist_later_term(term_number term, base::monotonic_time now, effects& out);
  void follow(voter const& leader, base::monotonic_time now);
  void restart_election_timer(base::monotonic_time now);
  void start_pre_vote(base::monotonic_time now, effects& out);
  void start_election(bool is_leadership_transfer, base::monotonic_time now, effects& out);
  void request_votes(bool is_pre_vote, bool is_leadership_transfer,
                     std::vector<outgoing>& messages) const;
  void become_leader(base::monotonic_time now, effects& out);
  [[nodiscard]] bool can_vote_for(vote_request const& request, base::monotonic_time now) const;

  void tick_as_leader(base::monotonic_time now, effects& out);
  void transfer_leadership(base::monotonic_time now, effects& out);
  /// A wanted voter that holds the whole log and was heard from lately.
  [[nodiscard]] std::optional<voter> successor(base::monotonic_time now) const;
  log_index append_as_leader(log_entry entry, base::monotonic_time now, effects& out);
  [[nodiscard]] tl::expected<log_index, propose_error>
  propose_configuration(configuration next, base::monotonic_time now, effects& out);
  void reconcile_configuration(base::monotonic_time now, effects& out);
  [[nodiscard]] std::optional<configuration> next_configuration(base::monotonic_time now) const;
  [[nodiscard]] bool keeps_quorum(configuration const& next, base::monotonic_time now) const;
  void replicate(base::monotonic_time now, effects& out);
  void replicate_to(voter const& target, progress& progress, base::monotonic_time now,
                    effects& out);
  void send_snapshot_chunk(voter const& target, progress& progress, base::monotonic_time now,
                           effects& out);
  void advance_commit(effects& out);
  void commit_to(log_index index, effects& out);
  void track_members(base::monotonic_time now);

  durable_write& add_write(effects& out);
  void send_when_durable(durable_write const& write, std::vector<outgoing> messages,
                         bool is_self_vote);
  void truncate_from(log_index index);
  /// Entries behind the index were replaced, so writes under way don't make them durable.
  void invalidate_writes_after(log_index index);
  void install(snapshot_request const& request, std::string state);
  /// Where the leader should go back to when the entry at the index is not the leader's.
  [[nodiscard]] log_index last_index_before_conflict(log_index index) const;
  void refresh_configuration();
  [[nodiscard]] std::optional<term_number> term_at(log_index index) const;
  [[nodiscard]] log_entry const& entry_at(log_index index) const;
  [[nodiscard]] term_number last_term() const;
  [[nodiscard]] std::vector<log_entry> entries_from(log_index index) const;

  options m_options;
  base::random_generator m_random;

  hard_state m_hard_state;
  snapshot m_snapshot;
  std::deque<log_entry> m_log;
  configuration m_configuration;
  log_index m_configuration_index = 0;

  consensus::role m_role = role::follower;
  std::optional<voter> m_leader;
  /// The leader that was followed in a term, kept only to notice a second one.
  std::optional<std::pair<term_number, voter>> m_term_leader;
  /// Set while a leader hands over; it steps down by then even without a successor.
  std::optional<base::monotonic_time> m_transfer_deadline;
  log_index m_commit_index = 0;
  log_index m_durable_index = 0;
  base::monotonic_time m_last_leader_contact{};
  base::monotonic_time m_election_due{};
  base::monotonic_time m_join_due{};
  /// A restarted voter can't know whom it promised to stand by, so it waits before it votes.
  base::monotonic_time m_vote_not_before{};

  std::set<voter> m_votes;
  std::map<voter, progress> m_progress;
  std::map<voter, base::monotonic_time> m_join_requests;
  std::optional<partial_snapshot> m_partial_snapshot;

  write_id m_last_write = 0;
  std::deque<pending_write> m_pending_writes;
};

} // namespace catkinlanding::consensus
