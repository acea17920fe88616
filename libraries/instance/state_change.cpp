#include <libraries/instance/state_change.h>

#include <utility>

namespace catkinlanding::instance {

namespace {

std::set<std::string> names_of(std::vector<consensus::voter> const& voters) {
  std::set<std::string> names;
  for (auto const& voter : voters) {
    names.insert(voter.instance.value);
  }
  return names;
}

/// Zones in which no instance is live, but some are expected.
std::set<std::string> silent_zones_of(std::vector<distribution::zone_status> const& zones) {
  std::set<std::string> names;
  for (auto const& zone : zones) {
    if (zone.live == 0 && zone.silent > 0) {
      names.insert(zone.zone.value);
    }
  }
  return names;
}

/// Reports the names that are only in `after` as added, and those only in `before` as removed.
void report_difference(std::set<std::string> const& before, std::set<std::string> const& after,
                       state_change_kind added, state_change_kind removed,
                       std::vector<state_change>& out) {
  for (auto const& name : after) {
    if (!before.contains(name)) {
      out.push_back({.kind = added, .subject = name});
    }
  }
  for (auto const& name : before) {
    if (!after.contains(name)) {
      out.push_back({.kind = removed, .subject = name});
    }
  }
}

} // namespace

std::vector<state_change> state_change_detector::observe(instance_state const& state) {
  std::vector<state_change> changes;
  bool const was_leader = m_last.role == consensus::role::leader;
  bool const is_leader = state.role == consensus::role::leader;
  if (is_leader != was_leader) {
    changes.push_back(
        {.kind = is_leader ? state_change_kind::leadership_won : state_change_kind::leadership_lost,
         .value = state.term});
  }
  if (state.has_lease != m_last.has_lease) {
    changes.push_back({.kind = state.has_lease ? state_change_kind::lease_regained
                                               : state_change_kind::lease_lost});
  }
  if (state.revision != m_last.revision) {
    changes.push_back({.kind = state_change_kind::revision_reached, .value = state.revision});
  }
  if (state.endpoints != m_last.endpoints) {
    changes.push_back({.kind = state_change_kind::endpoints_changed, .value = state.endpoints});
  }
  m_last = state;
  return changes;
}

std::vector<state_change> state_change_detector::observe(deployment_state const& state) {
  std::vector<state_change> changes;
  auto voters = names_of(state.voters);
  report_difference(m_voters, voters, state_change_kind::voter_added,
                    state_change_kind::voter_removed, changes);
  m_voters = std::move(voters);
  auto silent_zones = silent_zones_of(state.zones);
  report_difference(m_silent_zones, silent_zones, state_change_kind::zone_silent,
                    state_change_kind::zone_recovered, changes);
  m_silent_zones = std::move(silent_zones);
  return changes;
}

} // namespace catkinlanding::instance
