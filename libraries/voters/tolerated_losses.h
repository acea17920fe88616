#pragma once

#include <cstddef>
#include <optional>

/// How many voters a group needs so that it keeps what it acknowledged, whichever disks are lost.
namespace catkinlanding::voters {

/// What a deployment has to bear at once: the loss of control instances or of whole availability
/// zones, with the disks there. Any number of other instances may be away meanwhile.
struct tolerated_losses {
  std::size_t instances = 1;
  std::size_t availability_zones = 0;
  /// The availability zones of the deployment; 0 if not known.
  std::size_t zone_count = 0;

  bool operator==(tolerated_losses const&) const = default;
};

/// How many disks a group of this many voters may lose at once, whoever else is away meanwhile: the
/// others are still a majority, and each majority had more disks than were lost.
[[nodiscard]] std::size_t max_lost_disks(std::size_t voter_count);

/// How many voters of a group of this size the deployment has to bear the loss of, if they are
/// spread evenly over the availability zones. Nothing if the zones aren't known.
[[nodiscard]] std::optional<std::size_t> disks_lost_at_once(tolerated_losses const& losses,
                                                            std::size_t voter_count);

/// Whether a group of this size still bears what it has to without one of its voters. If it isn't
/// known what that is, the smaller group has to bear as much as the present one.
[[nodiscard]] bool can_lose_a_place(std::optional<tolerated_losses> const& losses,
                                    std::size_t voter_count);

/// Whether a group of this size bears the loss of as many instances as is stated. Says nothing
/// about zones: which voters are in one isn't known, and no group bears the loss of one of two
/// zones.
[[nodiscard]] bool bears_lost_instances(tolerated_losses const& losses, std::size_t voter_count);

} // namespace catkinlanding::voters
