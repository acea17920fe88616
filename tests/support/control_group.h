#pragma once

#include <libraries/proxy/control.h>
#include <libraries/proxy/router.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace catkinlanding::testing {

/// Simulated control instances with disks. Writes complete at once, and the network loses no
/// messages but those to stopped or isolated instances. Updates to instances that never started are
/// recorded.
class control_group {
public:
  explicit control_group(std::vector<std::string> const& seeds);

  /// Starts an instance with an empty disk, at the first start of the whole group or later.
  void start(std::string const& id, std::uint64_t disk_id, bool is_first_start = false);
  /// Starts these instances at the first start of the group, which the first of them founds. Their
  /// disks are numbered from `first_disk` on.
  void found(std::vector<std::string> const& instances, std::uint64_t first_disk = 1);
  /// Starts these instances for the first time, all at once, as the platform does: any of the seeds
  /// may found the group. Their disks are numbered from one on.
  void start_together(std::vector<std::string> const& instances);
  /// Starts a stopped instance with the disk it had.
  void restart(std::string const& id);
  void stop(std::string const& id);
  /// Stops an instance as a process does on SIGTERM: it hands over first.
  void stop_gracefully(std::string const& id);
  /// Cuts an instance off from all others until `reconnect`.
  void isolate(std::string const& id) { m_isolated.insert({id}); }
  void reconnect(std::string const& id) { m_isolated.erase({id}); }
  /// Suspends an instance's machine until `resume`: it does nothing and gets nothing.
  void suspend(std::string const& id);
  /// Resumes it. It has done nothing yet when this returns.
  void resume(std::string const& id);
  /// Cuts these instances off from all others, but not from each other, until `join`.
  void split(std::set<std::string> const& side);
  void join() { m_side.clear(); }
  /// Replaces the seeds that instances get when they start, as running instances may keep old ones.
  void use_seeds(std::vector<std::string> const& seeds);

  /// States what the deployment has to tolerate, for instances that start later.
  void tolerate(voters::tolerated_losses losses) { m_tolerated = losses; }

  /// Reads the rates of cold endpoints for instances that start later.
  void use_rate_reader(warmup::rate_reader reader) { m_rate_reader = std::move(reader); }

  /// Starts an entry instance, whose updates are no longer recorded.
  void start_entry(std::string const& id);
  /// Keeps messages to the instance in order until `release`, as a full link does.
  void hold(std::string const& id) { m_held.try_emplace({id}); }
  void release(std::string const& id);
  /// Bytes of the messages sent to the instance since the last call.
  [[nodiscard]] std::size_t take_bytes_to(std::string const& id);

  /// Advances the simulated time.
  void run(base::duration time);
  void call(std::string const& id, proxy::call_number number, proxy::call_request const& request);
  void send(std::string const& from, std::string const& to, proxy::message const& message);

  [[nodiscard]] proxy::control& node(std::string const& id) { return m_nodes.at({id}); }
  /// The instance that leads and holds a lease; empty if there is none.
  [[nodiscard]] std::string leader() const;
  [[nodiscard]] bool is_running(std::string const& id) const { return m_nodes.contains({id}); }
  [[nodiscard]] proxy::control const& node(std::string const& id) const { return m_nodes.at({id}); }
  [[nodiscard]] base::monotonic_time now() const { return m_now; }
  [[nodiscard]] proxy::router& entry(std::string const& id) { return m_entries.at({id}); }
  [[nodiscard]] std::optional<proxy::call_reply> reply(proxy::call_number number) const;
  [[nodiscard]] std::vector<proxy::update> const& updates(std::string const& id);
  [[nodiscard]] std::vector<proxy::last_known_state> const& last_known(std::string const& id);
  /// The disks of the leader's voters, as numbered in `start`.
  [[nodiscard]] std::set<std::uint64_t> voter_disks() const;

private:
  struct disk {
    std::uint64_t id = 0;
    /// Records in the format of the journal.
    std::vector<std::string> records;
  };

  struct in_flight_message {
    base::instance_id from;
    base::instance_id to;
    proxy::message message;
  };

  [[nodiscard]] proxy::control recover(base::instance_id const& id) const;
  void carry_out(base::instance_id const& id, proxy::control_effects& effects);
  void send(base::instance_id const& from, std::vector<proxy::outgoing> messages);
  void deliver();
  void deliver_to_entry(in_flight_message const& in_flight);
  void record(in_flight_message const& in_flight);

  std::vector<base::instance_id> m_seeds;
  std::optional<voters::tolerated_losses> m_tolerated;
  warmup::rate_reader m_rate_reader;
  std::map<base::instance_id, proxy::control> m_nodes;
  std::map<base::instance_id, proxy::router> m_entries;
  std::map<base::instance_id, std::deque<in_flight_message>> m_held;
  std::map<base::instance_id, std::size_t> m_bytes;
  std::map<base::instance_id, disk> m_disks;
  std::set<base::instance_id> m_side;
  std::set<base::instance_id> m_isolated;
  std::set<base::instance_id> m_suspended;
  std::deque<in_flight_message> m_in_flight;
  std::map<proxy::call_number, proxy::call_reply> m_replies;
  std::map<base::instance_id, std::vector<proxy::update>> m_updates;
  std::map<base::instance_id, std::vector<proxy::last_known_state>> m_last_known;
  base::monotonic_time m_now{};
};

} // namespace catkinlanding::testing
