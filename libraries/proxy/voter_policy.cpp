#include <libraries/proxy/voter_policy.h>

#include <algorithm>

namespace catkinlanding::proxy {

std::optional<std::vector<base::instance_id>>
admit_voter(std::vector<base::instance_id> voters, base::instance_id const& applicant,
            std::optional<base::instance_id> const& silent, std::size_t max_voters) {
  if (silent) {
    std::ranges::replace(voters, *silent, applicant);
  } else if (voters.size() < max_voters) {
    voters.push_back(applicant);
  } else {
    return std::nullopt;
  }
  return voters;
}

std::vector<base::instance_id> upstream_candidates(consensus::replica::options const& options) {
  return options.peers.empty() ? std::vector{options.self.instance} : options.peers;
}

std::vector<base::instance_id> silent_voters(consensus::replica const& replica,
                                             base::monotonic_time now) {
  std::vector<base::instance_id> silent;
  for (auto const& voter : replica.current_configuration().voters) {
    auto const last = replica.last_response(voter.instance);
    if (last && now >= *last + replica.lease_duration()) {
      silent.push_back(voter.instance);
    }
  }
  return silent;
}

std::string names_of(std::vector<base::instance_id> const& instances) {
  std::string names;
  for (auto const& instance : instances) {
    names += (names.empty() ? "" : ",") + instance.value;
  }
  return names;
}

std::vector<base::instance_id> instances_of(std::vector<consensus::voter> const& voters) {
  std::vector<base::instance_id> instances;
  instances.reserve(voters.size());
  for (auto const& voter : voters) {
    instances.push_back(voter.instance);
  }
  return instances;
}

std::string names_of(std::vector<consensus::voter> const& voters) {
  return names_of(instances_of(voters));
}

} // namespace catkinlanding::proxy
