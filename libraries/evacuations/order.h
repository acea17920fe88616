#pragma once

#include <libraries/base/identifier.h>

#include <cstdint>

namespace catkinlanding::evacuations {

/// Sequence number, shared by the orders of all zones. Odd: the zone is out of use. 0: no order for
/// the zone is known.
using order_number = std::uint64_t;

[[nodiscard]] constexpr bool takes_out_of_use(order_number number) {
  return number % 2 == 1;
}

/// Takes an availability zone out of use, or puts it back into use.
struct order {
  base::availability_zone_id zone;
  order_number number = 0;

  bool operator==(order const&) const = default;
};

} // namespace catkinlanding::evacuations
