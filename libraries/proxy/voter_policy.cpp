#include <libraries/proxy/voter_policy.h>

#include <algorithm>

namespace catkinlanding::proxy {

std::optional<std::vector<base::instance_id>>
admit_voter(std::vector<base::instance_id> voters, base::instance_id const& applicant,
            std::function<bool(base::instance_id const&)> const& is_silent,
            std::size_t max_voters) {
  auto const silent = std::ranges::find_if(voters, is_silent);
  if (silent != voters.end()) {
    *silent = applicant;
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

std::string names_of(std::vector<consensus::voter> const& voters) {
  std::string names;
  for (auto const& voter : voters) {
    names += (names.empty() ? "" : ",") + voter.instance.value;
  }
  return names;
}

} // namespace catkinlanding::proxy
