#pragma once

#include <libraries/consensus/replica.h>

#include <optional>
#include <string>
#include <vector>

namespace catkinlanding::proxy {

/// Adds the applicant to the voters, in place of the silent one if there is one. Returns nothing if
/// there are max_voters of them and none is silent.
[[nodiscard]] std::optional<std::vector<base::instance_id>>
admit_voter(std::vector<base::instance_id> voters, base::instance_id const& applicant,
            std::optional<base::instance_id> const& silent, std::size_t max_voters);

/// The instances that a non-leader may subscribe to. With no peers this is the instance itself, to
/// which nothing is ever sent.
[[nodiscard]] std::vector<base::instance_id>
upstream_candidates(consensus::replica::options const& options);

/// The voters that did not respond to this leader while its lease lasted.
[[nodiscard]] std::vector<base::instance_id> silent_voters(consensus::replica const& replica,
                                                           base::monotonic_time now);

[[nodiscard]] std::vector<base::instance_id>
instances_of(std::vector<consensus::voter> const& voters);

/// The instances, separated by commas, for the log.
[[nodiscard]] std::string names_of(std::vector<base::instance_id> const& instances);
[[nodiscard]] std::string names_of(std::vector<consensus::voter> const& voters);

} // namespace catkinlanding::proxy
