#pragma once

#include <libraries/billing/ledger.h>
#include <libraries/claims/message.h>
#include <libraries/consensus/replica.h>
#include <libraries/distribution/publisher.h>
#include <libraries/instance/replicated_state.h>
#include <libraries/operators/message.h>
#include <libraries/rollouts/controller.h>
#include <libraries/sessions/message.h>

#include <map>
#include <optional>
#include <vector>

namespace catkinlanding::instance {

/// Effects of the control role that the instance has to perform.
struct control_effects {
  consensus::effects log;
  std::vector<operators::outgoing> operator_messages;
  std::vector<claims::outgoing> claim_messages;
  std::vector<sessions::outgoing> session_messages;
  bool is_catalogue_changed = false;
};

/// The control role of one instance: its replica of the log, and the state machine that applies the
/// committed entries.
class control {
public:
  struct options {
    consensus::replica::options replica;
    /// A change that waits until it is in force everywhere is answered after this time at the
    /// latest.
    base::duration in_force_timeout = std::chrono::seconds(4);
    /// Number of applied entries after which the log is compacted into a snapshot.
    consensus::log_index entries_per_snapshot = 2048;
    /// Leases that an earlier leader granted have expired this long after an election.
    base::duration max_lease_duration = std::chrono::seconds(2);
  };

  [[nodiscard]] static control create(options options, consensus::recovered_state const& recovered,
                                      base::monotonic_time now);

  void receive(base::instance_id const& from, consensus::message const& message,
               base::monotonic_time now, control_effects& out);
  void receive(operators::forwarded_request const& request,
               distribution::publisher const& publisher, base::monotonic_time now,
               control_effects& out);
  void receive(claims::forwarded_action const& forwarded, base::monotonic_time now,
               control_effects& out);
  void receive(sessions::forwarded_proposal const& forwarded, base::monotonic_time now,
               control_effects& out);
  /// `evidence` holds the reports of the deployment on the answers of each version.
  void tick(distribution::publisher const& publisher, rollouts::collector const& evidence,
            base::monotonic_time now, control_effects& out);
  void complete_write(consensus::write_id id, base::monotonic_time now, control_effects& out);
  void resign(base::monotonic_time now, control_effects& out);

  [[nodiscard]] replicated_state const& state() const { return m_state; }
  [[nodiscard]] consensus::replica const& replica() const { return m_replica; }

private:
  struct pending_proposal {
    consensus::term_number term = 0;
    base::instance_id origin;
    std::uint64_t number = 0;
    bool waits_until_in_force = false;
  };

  struct pending_change {
    base::instance_id origin;
    std::uint64_t number = 0;
    catalogue::change_outcome outcome;
    base::monotonic_time due{};
  };

  control(options options, consensus::recovered_state const& recovered, base::monotonic_time now);

  /// Applies the committed entries of `out.log` to the state machine.
  void apply_committed(base::monotonic_time now, control_effects& out);
  void apply(consensus::log_entry const& entry, base::monotonic_time now, control_effects& out);
  void restore(consensus::snapshot const& snapshot);
  /// The time on the replicated clock of claims and pins, which continues from the last time that
  /// the previous leader committed.
  [[nodiscard]] base::duration log_clock(base::monotonic_time now) const;
  void update_leadership(base::monotonic_time now);
  void advance_rollouts(rollouts::collector const& evidence, base::monotonic_time now,
                        control_effects& out);
  void answer(base::instance_id const& origin, std::uint64_t number, operators::reply reply,
              control_effects& out) const;
  [[nodiscard]] operators::change_reply change_status(catalogue::change_outcome const& outcome,
                                                      distribution::publisher const& publisher,
                                                      base::monotonic_time now) const;
  [[nodiscard]] operators::reply reply_to(operators::request const& request,
                                          base::monotonic_time now, control_effects& out);

  options m_options;
  consensus::replica m_replica;
  replicated_state m_state;
  consensus::log_index m_applied = 0;
  bool m_was_leader = false;
  base::monotonic_time m_leader_since{};
  base::duration m_log_clock_at_election{};
  /// Set while this instance is the leader.
  std::optional<rollouts::controller> m_rollouts;
  std::map<consensus::log_index, pending_proposal> m_pending_proposals;
  std::vector<pending_change> m_pending_changes;
};

} // namespace catkinlanding::instance
