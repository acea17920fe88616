#pragma once

#include <libraries/base/identifier.h>

#include <cstdint>

namespace catkinlanding::evacuations {

/// Orders the changes of all zones. Odd while the zone is out of use; 0 for a zone without an
/// order.
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
