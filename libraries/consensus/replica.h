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
/// Decoding rejects greater values.
constexpr role last_enumerator(role /*any*/) {
  return role::leader;
}

enum class propose_error {
  not_leader,
  /// Too many entries are not yet committed.
  overloaded,
  /// An earlier configuration change is not yet committed.
  configuration_pending,
  /// The log is not empty, so it already belongs to a deployment.
  already_initialised,
};

/// One member of the replicated log, an implementation of Raft with pre-votes, leader leases and
/// leadership transfer. It performs no I/O: each event returns the effects to perform.
class replica {
public:
  struct options {
    voter self;
    /// Control instances to which join requests are sent.
    std::vector<base::instance_id> peers;
    /// The instances that form the first group by an election, the preferred leader first. Empty if
    /// an operator founds it (`initialise`).
    std::vector<base::instance_id> founders;
    std::uint64_t seed = 0;
    base::duration heartbeat_interval = std::chrono::milliseconds(150);
    /// A voter that heard from a leader within this time denies its vote to other candidates.
    base::duration election_timeout = std::chrono::milliseconds(750);
    /// Upper bound of the random delay that is added to each election timeout.
    base::duration election_jitter = std::chrono::milliseconds(500);
    /// Shorter than the election timeout, to allow for clocks that run at different rates.
    base::duration lease_duration = std::chrono::milliseconds(600);
    /// How long a leader that resigns waits for a voter to catch up with its log.
    base::duration leadership_transfer_timeout = std::chrono::milliseconds(500);
    /// Shortest time between two transmissions of entries that a follower reports missing, or of
    /// the same part of a snapshot. They may be under way all the while, as later heartbeats can
    /// overtake them.
    base::duration resend_interval = std::chrono::milliseconds(200);
    std::size_t max_append_bytes = 256 * 1024;
    std::size_t snapshot_chunk_bytes = 256 * 1024;
    std::size_t max_uncommitted_entries = 4096;
  };

  [[nodiscard]] static replica create(options options, recovered_state recovered,
                                      base::monotonic_time now);

  /// Founds a deployment, on an operator's order, with this instance as its only voter. The other
  /// desired voters join later, one at a time.
  [[nodiscard]] tl::expected<void, propose_error>
  initialise(std::vector<base::instance_id> desired_voters, base::monotonic_time now, effects& out);

  void receive(base::instance_id const& from, message const& message, base::monotonic_time now,
               effects& out);
  void tick(base::monotonic_time now, effects& out);
  void complete_write(write_id id, base::monotonic_time now, effects& out);

  [[nodiscard]] tl::expected<log_index, propose_error>
  propose(std::string command, base::monotonic_time now, effects& out);

  /// Proposes which instances should be voters. Once this is committed, the leader adds and removes
  /// voters one at a time.
  [[nodiscard]] tl::expected<log_index, propose_error>
  propose_desired_voters(std::vector<base::instance_id> desired_voters, base::monotonic_time now,
                         effects& out);

  /// Replaces the log up to `index`, which must be committed, by a snapshot with `state`.
  void compact(log_index index, std::string state, effects& out);

  /// Join requests are also sent to this instance, which is said to be a member of the group.
  void note_member(base::instance_id const& instance) { m_last_member = instance; }
  /// Replaces the control instances to which join requests are sent.
  void set_peers(std::vector<base::instance_id> peers) { m_options.peers = std::move(peers); }

  /// Gives up leadership before a planned stop. The leader rejects further proposals, waits up to
  /// `leadership_transfer_timeout` until a voter holds the whole log, and makes that voter start an
  /// election at once.
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

  /// Whether this instance leads and no other instance can have become leader by `now`. A process
  /// that was suspended finds its lease expired as soon as it resumes.
  [[nodiscard]] bool holds_lease(base::monotonic_time now) const;
  /// How long a response of a voter supports the leader's lease.
  [[nodiscard]] base::duration lease_duration() const { return m_options.lease_duration; }

  /// When a voter or learner last responded to this leader, or when the leader began to track it.
  /// Nothing if the instance is no other member, or if this instance does not lead.
  [[nodiscard]] std::optional<base::monotonic_time>
  last_response(base::instance_id const& instance) const;

  /// Whether stopping this instance doesn't leave the voters without a leader: another instance
  /// leads, this instance is no voter, or it is the only voter.
  [[nodiscard]] bool is_safe_to_stop() const;

private:
  struct sent_part {
    log_index index = 0;
    std::uint64_t offset = 0;
    base::monotonic_time at{};
  };

  struct progress {
    log_index next_index = 1;
    log_index match_index = 0;
    base::monotonic_time last_sent{};
    base::monotonic_time last_contact{};
    /// Send time of the latest request that was answered. The lease runs from here.
    base::monotonic_time acknowledged_sent_at{};
    std::uint64_t snapshot_offset = 0;
    bool is_receiving_snapshot = false;
    /// The part of a snapshot that was last sent; nothing if none was.
    std::optional<sent_part> last_part;
    /// The first entry that was sent again, and when.
    log_index resent_from = 0;
    base::monotonic_time resent_at{};
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
  /// Adopts the later term of a response and writes it to the disk.
  void persist_later_term(term_number term, base::monotonic_time now, effects& out);
  void follow(voter const& leader, base::monotonic_time now);
  void restart_election_timer(base::monotonic_time now);
  void start_pre_vote(base::monotonic_time now, effects& out);
  void start_election(bool is_leadership_transfer, base::monotonic_time now, effects& out);
  void request_votes(bool is_pre_vote, bool is_leadership_transfer,
                     std::vector<outgoing>& messages) const;
  void become_leader(base::monotonic_time now, effects& out);
  [[nodiscard]] bool can_vote_for(vote_request const& request, base::monotonic_time now) const;

  // Forming the first group, and forming a group anew that can't reach a majority again.

  /// Whether this instance takes part in founding the first group: its log is empty.
  [[nodiscard]] bool is_founding() const;
  /// Starts an election for the first group when it is due.
  void tick_founding(base::monotonic_time now, effects& out);
  /// Whether this instance may vote in the founding of a group. One that may have lost a disk waits
  /// first for signs of an existing group.
  [[nodiscard]] bool can_vote_in_founding(base::monotonic_time now) const;
  void note_sender(base::instance_id const& from, message const& message);
  /// The instances that take part in an election.
  [[nodiscard]] std::set<base::instance_id> electors() const;
  void count_vote(voter const& v);
  [[nodiscard]] bool has_won_election() const;
  [[nodiscard]] bool has_won_founding() const;
  /// Whether the group is one of two voters and is to have no more.
  [[nodiscard]] bool is_pair() const;
  /// Whether this instance may become leader: as a voter, as the disk that a place is held for, or
  /// with the votes of all instances.
  [[nodiscard]] bool can_campaign() const;
  [[nodiscard]] std::size_t max_lost_disks_to_form_anew() const;
  /// Whether all instances of the group together may elect a leader that forms it anew, with the
  /// disks that they have now. A group that all founders have joined never needs it, as it has a
  /// quorum whatever disks may be lost.
  [[nodiscard]] bool may_form_anew() const;
  [[nodiscard]] bool have_all_voted_to_form_anew() const;
  /// Whether a majority of the voters has voted, among them the disks that places are held for.
  [[nodiscard]] bool has_majority_voted() const;
  /// The first entry of a term: a new configuration if the group was founded or formed anew, or if
  /// a disk has voted that a place is held for.
  [[nodiscard]] log_entry first_entry_of_term() const;
  /// The configuration of a group that was founded or formed anew, with the disks that have voted.
  [[nodiscard]] configuration formed_configuration() const;
  /// A leader without a lease gives way if only all instances together can elect one.
  void step_down_without_quorum(base::monotonic_time now);

  [[nodiscard]] std::set<base::instance_id> join_targets() const;
  void tick_as_leader(base::monotonic_time now, effects& out);
  void transfer_leadership(base::monotonic_time now, effects& out);
  /// A desired voter that holds the whole log and has responded within the election timeout.
  [[nodiscard]] std::optional<voter> successor(base::monotonic_time now) const;
  log_index append_as_leader(log_entry entry, base::monotonic_time now, effects& out);
  [[nodiscard]] tl::expected<log_index, propose_error>
  propose_configuration(configuration next, base::monotonic_time now, effects& out);
  void reconcile_configuration(base::monotonic_time now, effects& out);
  /// Fills the places held for the disks that ask to join. Needs no earlier entry to be committed,
  /// as no majority changes.
  void fill_places(base::monotonic_time now, effects& out);
  [[nodiscard]] std::optional<configuration> next_configuration(base::monotonic_time now) const;
  [[nodiscard]] bool keeps_quorum(configuration const& next, base::monotonic_time now) const;
  void replicate(base::monotonic_time now, effects& out);
  /// Sends the entries again that a follower reports missing from this index on, unless they were
  /// sent again just before.
  void resend(voter const& target, progress& progress, log_index from, base::monotonic_time now,
              effects& out);
  void replicate_to(voter const& target, progress& progress, base::monotonic_time now,
                    effects& out);
  /// Whether the part of the snapshot that the follower needs next was sent just before.
  [[nodiscard]] bool is_part_under_way(progress const& progress, base::monotonic_time now) const;
  /// Sends the next part of the snapshot. While that is under way, only the heartbeat that keeps
  /// the follower from an election.
  void send_snapshot_chunk(voter const& target, progress& progress, base::monotonic_time now,
                           effects& out);
  void advance_commit(effects& out);
  void commit_to(log_index index, effects& out);
  /// Tracks the members that the configuration names. What is sent to a new one begins at
  /// `first_index`.
  void track_members(log_index first_index, base::monotonic_time now);

  durable_write& add_write(effects& out);
  void send_when_durable(durable_write const& write, std::vector<outgoing> messages,
                         bool is_self_vote);
  void truncate_from(log_index index);
  /// Called when the entries after `index` were removed: pending writes no longer make them
  /// durable.
  void invalidate_writes_after(log_index index);
  void install(snapshot_request const& request, std::string state);
  /// The index after which the leader should retry when the entry at `index` conflicts with its
  /// own.
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
  /// The leader of the latest term in which one was known, kept to detect a second leader in it.
  std::optional<std::pair<term_number, voter>> m_term_leader;
  /// Set while a leader resigns. It steps down at this time even if no successor has caught up.
  std::optional<base::monotonic_time> m_transfer_deadline;
  log_index m_commit_index = 0;
  log_index m_durable_index = 0;
  base::monotonic_time m_last_leader_contact{};
  base::monotonic_time m_election_due{};
  base::monotonic_time m_join_due{};
  base::monotonic_time m_started_at{};
  base::monotonic_time m_founding_due{};
  /// When this leader last held a lease, or when it was elected.
  base::monotonic_time m_last_lease{};
  /// The last known member of an existing group: who sent a message of one, which may be addressed
  /// to a disk that this instance has lost, or whom another instance named. It may be the only sign
  /// of a group that none of the peers belongs to.
  std::optional<base::instance_id> m_last_member;
  /// Whether an instance other than the founders has sent a message of an existing group.
  bool m_has_heard_group = false;
  /// A restarted voter doesn't know which leader's lease it supported, so it denies votes until
  /// this time.
  base::monotonic_time m_vote_not_before{};

  std::set<voter> m_votes;
  std::map<voter, progress> m_progress;
  std::map<voter, base::monotonic_time> m_join_requests;
  std::optional<partial_snapshot> m_partial_snapshot;

  write_id m_last_write = 0;
  std::deque<pending_write> m_pending_writes;
};

} // namespace catkinlanding::consensus
