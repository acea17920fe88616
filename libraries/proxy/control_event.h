#pragma once

#include <cstdint>
#include <string>

namespace catkinlanding::proxy {

/// Events of a control instance that are logged for operators.
enum class control_event : std::uint8_t {
  leadership_won,
  leadership_lost,
  document_applied,
  rollout_changed,
  /// An operator asked for a rollout; the detail says what the request was taken for, and why. The
  /// number is that of the service's latest rollout, or 0.
  rollout_requested,
  /// The leader proposes the next state of a rollout; the detail holds the evidence.
  rollout_decided,
  endpoint_changed,
  /// An operator asked for a zone to be taken out of use or put back; the detail says which, and
  /// what became of it. The number is that of the proposed order, or of the one in force.
  evacuation_requested,
  /// An order for a zone is in force; the detail says whether the zone is out of use.
  evacuation_changed,
  voters_changed,
  /// The leader proposes other voters; the subject names them, the detail says why.
  voters_proposed,
  /// A majority of the voters responds to the leader; the number counts the voters.
  quorum_gained,
  /// The leader answers no calls, as no majority responds; the detail names the silent voters.
  quorum_lost,
  instance_joined,
  instance_lost,
  /// An instance lacks the state that it was sent, and gets it again over another connection. The
  /// detail says what it holds, the number how often this happened; not logged for each one.
  state_repeated,
  /// The subject names a service, the number counts its endpoints that are cold now.
  cold_endpoints_changed,
  /// The leader refuses the first change, as the group doesn't tolerate yet what it has to; the
  /// subject names the voters.
  voters_awaited,
};

/// A control event as it is logged.
struct control_event_details {
  control_event event = control_event::leadership_won;
  /// The instance, endpoint or service that the event concerns.
  std::string subject;
  std::string detail;
  std::uint64_t number = 0;
};

} // namespace catkinlanding::proxy
