#pragma once

#include <libraries/base/random.h>
#include <libraries/consensus/replica.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace catkinlanding::testing {

/// Several replicas with a bag of messages, and disks that forget what was not synced. Every step
/// is drawn from one generator. The invariants of the replicated log are verified after each.
class replica_group {
public:
  explicit replica_group(std::uint64_t seed);

  /// One random event: a message, a tick, a sync, a proposal or a fault.
  void step();
  /// Ends all faults and runs until the group agrees, within a bounded number of events.
  void heal();

private:
  struct disk {
    std::uint64_t id = 0;
    /// Synced records, in the form of the journal.
    std::vector<std::string> records;
    std::vector<consensus::durable_write> unsynced;
  };

  struct node {
    base::instance_id id;
    /// How fast its clock runs, in thousandths of the true speed.
    int clock_speed = 1000;
    disk storage;
    std::optional<consensus::replica> replica;
    consensus::log_index applied = 0;
    std::string state;
    bool is_frozen = false;
    /// Nodes reach only those on the same side of the partition.
    int partition = 0;
  };

  struct in_flight_message {
    base::instance_id from;
    base::instance_id to;
    consensus::message message;
  };

  [[nodiscard]] std::uint64_t random_below(std::uint64_t count) { return m_random() % count; }
  [[nodiscard]] node& random_node() { return m_nodes[random_below(m_nodes.size())]; }
  [[nodiscard]] node& node_of(base::instance_id const& id);
  [[nodiscard]] base::monotonic_time clock_of(node const& node) const;

  void bootstrap();
  void deliver();
  void deliver(in_flight_message const& in_flight_message);
  void advance_time();
  void tick(node& node);
  void sync(node& node);
  void propose(node& node);
  void propose_random_voters(node& node);
  void compact(node& node);
  void inject_fault();
  /// Any node, but a leader half of the time.
  [[nodiscard]] node& fault_target();
  void recover(node& node);
  void crash(node& node);
  void restart(node& node);
  void lose_disk(node& node);
  [[nodiscard]] bool can_lose_disk() const;

  /// Performs effects one by one. With `can_crash` the node may die between any two.
  void perform(node& node, consensus::effects effects, bool can_crash);
  void apply(node& node, consensus::log_entry const& entry);
  void record_vote(node const& node, base::instance_id const& to,
                   consensus::message const& message);
  void verify_invariants();
  [[nodiscard]] bool is_healed();
  [[nodiscard]] std::vector<base::instance_id> random_instances();

  base::random_generator m_random;
  std::uint64_t m_fault_percent;
  std::chrono::milliseconds m_max_tick_interval;
  base::monotonic_time m_now{std::chrono::hours(1)};
  std::vector<node> m_nodes;
  std::vector<in_flight_message> m_in_flight;
  std::set<consensus::voter> m_lost_disks;
  std::uint64_t m_last_disk = 0;
  std::uint64_t m_last_command = 0;
  bool m_is_fault_free = false;

  /// Everything that any replica ever reported committed.
  std::map<consensus::log_index, consensus::log_entry> m_committed;
  std::map<consensus::log_index, std::string> m_states{{0, ""}};
  std::map<consensus::term_number, consensus::voter> m_leaders;
  std::map<std::pair<consensus::term_number, consensus::voter>, base::instance_id> m_votes;
};

} // namespace catkinlanding::testing
