#include <libraries/voters/tolerated_losses.h>

#include <algorithm>

namespace catkinlanding::voters {

std::size_t max_lost_disks(std::size_t voter_count) {
  return voter_count == 0 ? 0 : (voter_count - 1) / 2;
}

std::optional<std::size_t> disks_lost_at_once(tolerated_losses const& losses,
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

bool can_lose_a_place(std::optional<tolerated_losses> const& losses, std::size_t voter_count) {
  auto const borne = max_lost_disks(voter_count);
  auto const borne_without = voter_count == 0 ? 0 : max_lost_disks(voter_count - 1);
  auto const stated = losses ? disks_lost_at_once(*losses, voter_count) : std::nullopt;
  return borne_without >= std::min(borne, stated.value_or(borne));
}

bool bears_lost_instances(tolerated_losses const& losses, std::size_t voter_count) {
  return max_lost_disks(voter_count) >= losses.instances;
}

} // namespace catkinlanding::voters
