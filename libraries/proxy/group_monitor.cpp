#include <libraries/proxy/group_monitor.h>
#include <libraries/proxy/voter_policy.h>

namespace catkinlanding::proxy {

bool is_serving_leader(consensus::replica const& replica, base::monotonic_time now) {
  return replica.role() == consensus::role::leader && replica.holds_lease(now);
}

std::optional<base::instance_id> other_leader(consensus::replica const& replica) {
  auto const& leader = replica.leader();
  bool const is_known = leader && leader->instance != replica.self().instance;
  return is_known ? std::optional(leader->instance) : std::nullopt;
}

bool group_monitor::note_role(consensus::replica const& replica, events& out) {
  bool const is_leader = replica.role() == consensus::role::leader;
  if (is_leader == m_was_leader) {
    return false;
  }
  m_was_leader = is_leader;
  auto const event = is_leader ? control_event::leadership_won : control_event::leadership_lost;
  out.push_back({event, replica.self().instance.value, {}, replica.term()});
  return true;
}

void group_monitor::note_quorum(consensus::replica const& replica, base::monotonic_time now,
                                events& out) {
  bool const has_quorum = is_serving_leader(replica, now);
  bool const is_lost = m_had_quorum && !has_quorum && m_was_leader;
  bool const is_gained = !m_had_quorum && has_quorum;
  m_had_quorum = has_quorum;
  if (is_gained || is_lost) {
    auto const event = is_gained ? control_event::quorum_gained : control_event::quorum_lost;
    out.push_back({event, replica.self().instance.value, names_of(silent_voters(replica, now)),
                   replica.current_configuration().voters.size()});
  }
}

void group_monitor::note_voters(consensus::replica const& replica, events& out) {
  auto const& voters = replica.current_configuration().voters;
  if (voters == m_voters) {
    return;
  }
  m_voters = voters;
  out.push_back({control_event::voters_changed, names_of(voters), {}, voters.size()});
}

} // namespace catkinlanding::proxy
