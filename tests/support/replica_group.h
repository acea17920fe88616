#pragma once

#include <libraries/base/random.h>
#include <libraries/consensus/replica.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace catkinlanding::testing {

/// Simulates several replicas with a lossy, reordering network and with disks that lose unsynced
/// writes in a crash. All steps are drawn from one seeded generator, so a run can be repeated. The
/// invariants of the replicated log are verified after each step.
class replica_group {
public:
  explicit replica_group(std::uint64_t seed);
  /// A group that isn't founded yet: its instances start for the first time during the steps, up to
  /// 0.3 s apart, and faults come from the first step on.
  [[nodiscard]] static replica_group unfounded(std::uint64_t seed);
  /// The same with an operator who orders the founding: at random instances at random moments, also
  /// after a disk was lost, and once again after the faults if nothing was founded.
  [[nodiscard]] static replica_group unfounded_until_ordered(std::uint64_t seed);

  /// The same with three, five or eight founders, some of which are lost for a while: as many as
  /// the deployment tolerates. Only these lose their disks.
  [[nodiscard]] static replica_group unfounded_with_losses(std::uint64_t seed);

  /// Simulates one random event: a message, a tick, a sync, a proposal or a fault.
  void step();
  /// Ends all faults and runs until the group has converged, within a bounded number of rounds.
  void heal();
  /// Ends all faults but kills the founders that may be lost. Returns whether a new command is
  /// committed within the time.
  [[nodiscard]] bool acknowledges_without_lost_founders(base::duration time);

private:
  struct disk {
    std::uint64_t id = 0;
    /// Synced records in the format of the journal.
    std::vector<std::string> records;
    std::vector<consensus::durable_write> unsynced;
  };

  struct node {
    base::instance_id id;
    /// Rate of the node's clock, in thousandths of real time.
    int clock_speed = 1000;
    disk storage;
    std::optional<consensus::replica> replica;
    consensus::log_index applied = 0;
    std::string state;
    /// The first start, if it is still to come.
    std::optional<base::monotonic_time> starts_at;
    bool is_frozen = false;
    /// Set if it lost its disk and stays away until the faults end. If it died again just after its
    /// return, the group would have to tolerate two losses.
    bool stays_away = false;
    /// Nodes reach only nodes in the same partition.
    int partition = 0;
  };

  struct in_flight_message {
    base::instance_id from;
    base::instance_id to;
    consensus::message message;
  };

  explicit replica_group(base::random_generator random) : m_random(random) {}

  [[nodiscard]] std::uint64_t random_below(std::uint64_t count) { return m_random() % count; }
  [[nodiscard]] node& random_node() { return m_nodes[random_below(m_nodes.size())]; }
  [[nodiscard]] node& node_of(base::instance_id const& id);
  [[nodiscard]] base::monotonic_time clock_of(node const& node) const;

  void bootstrap();
  /// An operator orders the instance to found the group.
  void order_founding(node& node);
  /// Adds instances that start for the first time at a random moment soon.
  void add_unstarted(std::size_t count);
  /// Adds the instances that form the first group.
  void add_founders(std::size_t count);
  /// Gives each instance the id of a first disk.
  void create_first_disks();
  /// Draws what the group will have to bear, for this number of founders.
  void draw_founding_faults(std::size_t count);
  /// Draws which founders may be lost, for this number of founders.
  void draw_lost_founders(std::size_t count);
  /// Starts and connects all nodes; one that is late starts as after the first start of all.
  void end_faults();
  /// Advances the time by a little. All nodes tick and sync, and all messages arrive.
  void run_without_faults();
  void start_due_nodes();
  void inject_founding_fault();
  /// Kills all nodes at once, with or without what they hold in memory only.
  void lose_power();
  /// Ends a node's first start before anything was written.
  void abort_first_start(node& node);
  void deliver();
  void deliver(in_flight_message const& in_flight_message);
  void advance_time();
  void tick(node& node);
  void sync(node& node);
  void propose(node& node);
  void propose_random_voters(node& node);
  void compact(node& node);
  void inject_fault();
  /// A leader half of the time, otherwise a random node.
  [[nodiscard]] node& fault_target();
  void recover(node& node);
  void crash(node& node);
  void restart(node& node);
  void lose_disk(node& node);
  [[nodiscard]] bool can_lose_disk() const;
  /// Whether a founder may lose its disk while the group is founded.
  [[nodiscard]] bool may_lose_disk(node const& node) const;

  /// Performs the effects one by one. With `can_crash` the node may crash between any two.
  void perform(node& node, consensus::effects effects, bool can_crash);
  void apply(node& node, consensus::log_entry const& entry);
  void record_vote(node const& node, base::instance_id const& to,
                   consensus::message const& message);
  void verify_invariants();
  [[nodiscard]] bool is_healed();
  [[nodiscard]] std::vector<base::instance_id> random_instances();

  base::random_generator m_random;
  std::uint64_t m_fault_percent = 0;
  /// A node crashes between two effects once in this many times.
  std::uint64_t m_effects_per_crash = 6000;
  std::chrono::milliseconds m_max_tick_interval{};
  /// The instances that form the first group; empty if it was founded before the first step.
  std::vector<base::instance_id> m_founders;
  /// Whether the founders wait for the order of an operator.
  bool m_waits_for_order = false;
  /// How many more disks may be lost, and first starts aborted, while the group is founded.
  std::size_t m_disks_to_lose = 0;
  std::size_t m_starts_to_abort = 0;
  /// The founders that may be lost; empty if any founder may lose its disk.
  std::vector<base::instance_id> m_lost_founders;
  base::monotonic_time m_now{std::chrono::hours(1)};
  std::vector<node> m_nodes;
  std::vector<in_flight_message> m_in_flight;
  std::set<consensus::voter> m_lost_disks;
  std::uint64_t m_last_disk = 0;
  std::uint64_t m_last_command = 0;
  bool m_is_fault_free = false;

  /// All entries that any replica has ever reported as committed.
  std::map<consensus::log_index, consensus::log_entry> m_committed;
  std::map<consensus::log_index, std::string> m_states{{0, ""}};
  std::map<consensus::term_number, consensus::voter> m_leaders;
  std::map<std::pair<consensus::term_number, consensus::voter>, base::instance_id> m_votes;
};

} // namespace catkinlanding::testing
