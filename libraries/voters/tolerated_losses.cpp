#include <libraries/voters/tolerated_losses.h>

#include <algorithm>

namespace catkinlanding::voters {

std::size_t max_lost_disks(std::size_t voter_count) {
  return voter_count == 0 ? 0 : (voter_count - 1) / 2;
}

std::size_t min_voters(std::size_t lost_disks) {
  return 2 * lost_disks + 1;
}

std::optional<std::size_t> lost_disks_to_tolerate(tolerated_losses const& losses,
                                                  std::size_t voter_count) {
  if (losses.availability_zones == 0) {
    return losses.instances;
  }
  if (losses.zone_count == 0) {
    return std::nullopt;
  }
  auto const voters_in_zone = (voter_count + losses.zone_count - 1) / losses.zone_count;
  return std::max(losses.instances, losses.availability_zones * voters_in_zone);
}

bool can_remove_voter(std::optional<tolerated_losses> const& losses, std::size_t voter_count) {
  auto const tolerated = max_lost_disks(voter_count);
  auto const tolerated_without_one = voter_count == 0 ? 0 : max_lost_disks(voter_count - 1);
  auto const stated = losses ? lost_disks_to_tolerate(*losses, voter_count) : std::nullopt;
  return tolerated_without_one >= std::min(tolerated, stated.value_or(tolerated));
}

bool tolerates_lost_instances(tolerated_losses const& losses, std::size_t voter_count) {
  return max_lost_disks(voter_count) >= losses.instances;
}

} // namespace catkinlanding::voters
