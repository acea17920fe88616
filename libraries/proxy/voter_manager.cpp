#include <libraries/proxy/voter_manager.h>
#include <libraries/proxy/voter_policy.h>

#include <algorithm>
#include <set>

namespace catkinlanding::proxy {

std::optional<voter_proposal> voter_manager::next_voters(consensus::replica const& replica,
                                                         base::monotonic_time now) {
  auto const& configuration = replica.current_configuration();
  drop_expired(configuration, now);
  auto voters = configuration.desired_voters;
  auto const silent = longest_silent(replica, now);
  if (!m_applicants.empty()) {
    auto const& applicant = m_applicants.begin()->first;
    auto admitted = admit_voter(voters, applicant, silent, max_voters());
    if (admitted) {
      return voter_proposal{.voters = std::move(*admitted), .reason = "joins:" + applicant.value};
    }
  }
  if (!silent || !can_shrink(voters.size())) {
    return std::nullopt;
  }
  std::erase(voters, *silent);
  return voter_proposal{.voters = std::move(voters), .reason = "silent:" + silent->value};
}

bool voter_manager::can_shrink(std::size_t voter_count) const {
  return voter_count > m_options.min_voters &&
         voters::can_remove_voter(m_options.tolerated_losses, voter_count);
}

std::size_t voter_manager::max_voters() const {
  auto const& losses = m_options.tolerated_losses;
  auto const needed = losses ? voters::min_voters(losses->instances) : 0;
  return std::max(m_options.max_voters, needed);
}

bool voter_manager::awaits_voters(consensus::replica const& replica,
                                  base::monotonic_time now) const {
  auto const& configuration = replica.current_configuration();
  auto const count = configuration.voters.size();
  if (now >= m_leader_since + m_options.max_wait_for_voters) {
    return false;
  }
  auto const& losses = m_options.tolerated_losses;
  bool const is_too_small = losses && !voters::tolerates_lost_instances(*losses, count);
  // A single instance whose settings state nothing may be all that there is.
  bool const is_settling =
      (count > 1 || losses.has_value()) && now - m_options.settling_time < m_first_leader_at;
  // Which zones the voters are in isn't known, so that all instances that start have to join.
  bool const are_some_joining = is_settling || count < configuration.desired_voters.size();
  return is_too_small || are_some_joining;
}

void voter_manager::drop_expired(consensus::configuration const& configuration,
                                 base::monotonic_time now) {
  std::erase_if(m_applicants, [&](auto const& item) {
    return now >= item.second + m_options.applicant_timeout ||
           configuration.is_desired_voter(item.first);
  });
  std::erase_if(m_departures,
                [&](auto const& item) { return now >= item.second + m_options.departure_timeout; });
}

void voter_manager::note_voters(consensus::configuration const& configuration,
                                base::monotonic_time now) {
  if (configuration.voters == m_voters) {
    return;
  }
  m_voters = configuration.voters;
  std::set<base::instance_id> instances;
  for (auto const& v : m_voters) {
    instances.insert(v.instance);
  }
  m_former_voters.note(instances, now);
}

std::optional<base::monotonic_time> voter_manager::last_heard(consensus::replica const& replica,
                                                              base::instance_id const& id) const {
  if (m_departures.contains(id)) {
    return std::nullopt;
  }
  auto const response = replica.last_response(id);
  auto const contact = response ? response : m_contacts.last(id);
  return std::max(contact.value_or(m_leader_since), m_leader_since);
}

std::optional<base::instance_id> voter_manager::longest_silent(consensus::replica const& replica,
                                                               base::monotonic_time now) const {
  std::optional<base::instance_id> longest;
  base::monotonic_time earliest = now - m_options.voter_timeout;
  for (auto const& id : replica.current_configuration().desired_voters) {
    auto const last = last_heard(replica, id).value_or(base::monotonic_time{});
    if (id != replica.self().instance && last <= earliest) {
      longest = id;
      earliest = last;
    }
  }
  return longest;
}

} // namespace catkinlanding::proxy
