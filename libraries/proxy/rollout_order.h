#pragma once

#include <libraries/proxy/call.h>

#include <cstdint>

namespace catkinlanding::proxy {

/// What a request to start a rollout is, given the service's latest rollout.
enum class rollout_order : std::uint8_t {
  new_rollout,
  duplicate,
  conflict,
  /// Can't be told: this instance doesn't know how long ago the latest rollout was ordered, or an
  /// earlier order for the service is not committed yet.
  undecided,
};

[[nodiscard]] constexpr char const* name_of(rollout_order order) {
  switch (order) {
  case rollout_order::new_rollout:
    return "new_rollout";
  case rollout_order::duplicate:
    return "duplicate";
  case rollout_order::conflict:
    return "conflict";
  case rollout_order::undecided:
    return "undecided";
  }
  return "unknown";
}

/// The reply to an order that is in force, or for which no rollout is started.
[[nodiscard]] constexpr reply_kind reply_to(rollout_order order) {
  switch (order) {
  case rollout_order::new_rollout:
  case rollout_order::duplicate:
    return reply_kind::done;
  case rollout_order::conflict:
    return reply_kind::conflict;
  case rollout_order::undecided:
    return reply_kind::unavailable;
  }
  return reply_kind::unavailable;
}

} // namespace catkinlanding::proxy
