#pragma once

#include <libraries/consensus/replica.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinlanding::testing {

/// Simulates the founding of a group over a network that takes one millisecond for each message,
/// with disks that sync at once. It draws nothing, so that a test determines who starts, who is
/// killed and when. Committed entries that differ between two replicas abort the process.
class founding_run {
public:
  explicit founding_run(std::size_t founder_count);

  /// Starts a founder with an empty first disk, or with the disk that it has.
  void start(std::size_t founder);
  void kill(std::size_t founder) { m_nodes.at(founder).replica.reset(); }
  /// Kills a founder. Its next start is with an empty disk that is not its first one.
  void lose_disk(std::size_t founder);
  /// Advances the simulated time.
  void run(base::duration time);
  /// Runs until a candidate asks for votes. Returns whether one did within the time.
  [[nodiscard]] bool run_until_vote(base::duration time);
  /// Runs until a command that was proposed to a leader now or later is committed at that leader.
  /// Returns whether one was within the time.
  [[nodiscard]] bool run_until_acknowledged(base::duration time);
  /// Runs until one replica leads with a lease, and all founders run and have the same entries.
  /// Returns whether this was so within the time.
  [[nodiscard]] bool run_until_converged(base::duration time);
  /// Whether the replica that leads with a lease has all commands that were acknowledged.
  [[nodiscard]] bool has_all_acknowledged() const;

private:
  struct node {
    consensus::voter self;
    /// Records in the format of the journal.
    std::vector<std::string> records;
    std::optional<consensus::replica> replica;
    std::vector<std::string> applied;
  };

  struct in_flight_message {
    base::instance_id from;
    consensus::outgoing outgoing;
  };

  void step();
  void perform(node& node, consensus::effects effects);
  void apply(node& node, consensus::log_entry const& entry);
  void propose();
  [[nodiscard]] bool has_converged() const;
  [[nodiscard]] node const* leader() const;

  std::vector<base::instance_id> m_founders;
  std::vector<node> m_nodes;
  std::vector<in_flight_message> m_in_flight;
  base::monotonic_time m_now{std::chrono::hours(1)};
  bool m_has_seen_vote = false;
  std::uint64_t m_last_disk = 0;
  std::uint64_t m_last_command = 0;
  std::map<consensus::log_index, consensus::log_entry> m_committed;
  std::set<std::string> m_acknowledged;
};

} // namespace catkinlanding::testing
