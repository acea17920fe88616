#pragma once

#include <cstddef>
#include <optional>

/// How many voters a group needs so that it keeps what it acknowledged, whichever disks are lost.
namespace catkinlanding::voters {

/// What a deployment has to tolerate at once: the loss of control instances or of whole
/// availability zones, with the disks there. Any number of other instances may be unavailable
/// meanwhile.
struct tolerated_losses {
  std::size_t instances = 1;
  std::size_t availability_zones = 0;
  /// The availability zones of the deployment; 0 if not known.
  std::size_t zone_count = 0;

  bool operator==(tolerated_losses const&) const = default;
};

/// How many disks a group of this many voters may lose at once, whichever other voters are
/// unavailable meanwhile: the others are still a majority, and each majority had more disks than
/// were lost.
[[nodiscard]] std::size_t max_lost_disks(std::size_t voter_count);

/// The size of the smallest group that tolerates the loss of so many disks.
[[nodiscard]] std::size_t min_voters(std::size_t lost_disks);

/// How many disks of a group of this size may be lost at once, if its voters are spread evenly over
/// the availability zones. Nothing if the zones aren't known.
[[nodiscard]] std::optional<std::size_t> lost_disks_to_tolerate(tolerated_losses const& losses,
                                                                std::size_t voter_count);

/// Whether a group of this size still tolerates what it has to without one of its voters. If that
/// isn't known, the smaller group has to tolerate as much as the present one.
[[nodiscard]] bool can_remove_voter(std::optional<tolerated_losses> const& losses,
                                    std::size_t voter_count);

/// Whether a group of this size tolerates the loss of as many instances as is stated. Says nothing
/// about zones: which voters are in one isn't known, and no group tolerates the loss of one of two.
[[nodiscard]] bool tolerates_lost_instances(tolerated_losses const& losses,
                                            std::size_t voter_count);

} // namespace catkinlanding::voters
