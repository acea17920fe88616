#pragma once

#include <libraries/operators/reply.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace catkinlanding::instance {

enum class state_change_kind : std::uint8_t {
  leadership_won,
  leadership_lost,
  lease_regained,
  lease_lost,
  revision_reached,
  voter_added,
  voter_removed,
  zone_silent,
  zone_recovered,
  endpoints_changed,
};

/// A change in the state of the instance or the deployment that is logged for operators.
struct state_change {
  state_change_kind kind = state_change_kind::revision_reached;
  /// The voter or availability zone that the change is about, or empty.
  std::string subject;
  /// The new term, revision or number of endpoints, or 0.
  std::uint64_t value = 0;

  bool operator==(state_change const&) const = default;
};

/// The state of this instance. It is cheap enough to be compared on every tick.
struct instance_state {
  consensus::role role = consensus::role::follower;
  consensus::term_number term = 0;
  bool has_lease = false;
  catalogue::revision revision = 0;
  std::uint64_t endpoints = 0;
};

/// The known state of the other instances. Its size grows with the deployment.
struct deployment_state {
  std::vector<consensus::voter> voters;
  std::vector<distribution::zone_status> zones;
};

/// Reports what has changed since the previous call of `observe`.
class state_change_detector {
public:
  [[nodiscard]] std::vector<state_change> observe(instance_state const& state);
  [[nodiscard]] std::vector<state_change> observe(deployment_state const& state);

private:
  instance_state m_last;
  std::set<std::string> m_voters;
  std::set<std::string> m_silent_zones;
};

} // namespace catkinlanding::instance
