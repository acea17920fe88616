#pragma once

#include <libraries/instance/reducer.h>

#include <chrono>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace catkinlanding::capacity {

/// Resource usage of one instance since the counters were last cleared.
struct usage {
  std::chrono::nanoseconds processor_time{};
  std::size_t sent_messages = 0;
  std::size_t sent_bytes = 0;
  std::size_t received_bytes = 0;
  std::size_t log_bytes = 0;
};

/// Simulates a cluster in one process: runs the real instance reducers and passes encoded messages
/// between them. Time is simulated, and disk writes complete immediately.
class cluster {
public:
  struct shape {
    std::size_t zones = 1;
    std::size_t instances = 1;
    std::size_t voters = 1;
    std::uint64_t seed = 1;
    /// How many instances are relays. They are the ones that follow the voters, so that they are
    /// spread evenly over the zones.
    std::size_t relays = 0;
  };

  explicit cluster(shape shape);

  /// Founds the deployment and runs until all voters are in the configuration and every instance
  /// has a lease.
  void found();
  void run_for(base::duration duration);
  void clear_usage();

  /// Submits a change to the leader. It is replicated and distributed only during `run_for`.
  void apply(catalogue::change change);
  void announce(std::size_t instance, endpoints::announcement announcement);
  /// Submits a request. Each attempt that is dispatched is answered immediately.
  void run_request(std::size_t instance, requests::caller_request request);

  [[nodiscard]] base::instance_id leader() const;
  [[nodiscard]] usage const& usage_of(base::instance_id const& id) const;
  [[nodiscard]] instance::reducer const& reducer(base::instance_id const& id) const;
  [[nodiscard]] base::instance_id id_of(std::size_t index) const { return m_ids.at(index); }
  [[nodiscard]] std::size_t first_relay() const { return m_shape.voters; }
  [[nodiscard]] std::size_t size() const { return m_ids.size(); }
  [[nodiscard]] base::monotonic_time now() const { return m_now; }
  /// The lowest catalogue revision of all instances.
  [[nodiscard]] catalogue::revision min_revision() const;

private:
  struct member {
    std::unique_ptr<instance::reducer> reducer;
    capacity::usage usage;
  };

  struct delivery {
    base::monotonic_time due{};
    std::uint64_t order = 0;
    base::instance_id to;
    std::string bytes;

    bool operator>(delivery const& other) const {
      return std::tie(due, order) > std::tie(other.due, other.order);
    }
  };

  [[nodiscard]] membership::member member_at(std::size_t index) const;
  [[nodiscard]] std::vector<base::instance_id> control_instances(std::size_t index) const;
  [[nodiscard]] bool is_relay(std::size_t index) const;
  [[nodiscard]] std::vector<base::instance_id> zone_relays(std::size_t index) const;
  void make_member(std::size_t index);
  void reduce(base::instance_id const& id, instance::event const& event);
  void perform(base::instance_id const& id, instance::effects const& effects);
  void answer_attempt(base::instance_id const& id, requests::attempt_number attempt);

  shape m_shape;
  std::vector<base::instance_id> m_ids;
  std::map<base::instance_id, member> m_members;
  std::priority_queue<delivery, std::vector<delivery>, std::greater<>> m_deliveries;
  std::uint64_t m_order = 0;
  std::uint64_t m_commands = 0;
  base::monotonic_time m_now{std::chrono::hours(1)};
};

} // namespace catkinlanding::capacity
