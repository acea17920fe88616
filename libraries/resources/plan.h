#pragma once

#include <cstddef>

/// How a process divides its memory and its descriptors among those who connect to it. Bounds for
/// each connection don't bound their sum, so every bound follows from what the machine has.
namespace catkinlanding::resources {

/// What a process may use of its machine.
struct machine {
  std::size_t memory_bytes = 160UL * 1024 * 1024;
  /// All descriptors, with those that are not for sockets.
  std::size_t descriptors = 4096;
};

/// Bounds of the port between instances.
struct peer_plan {
  std::size_t max_inbound = 0;
  std::size_t max_outbound = 0;
  /// Frames that are being received, and those that wait to be sent.
  std::size_t frame_bytes = 0;
  std::size_t queue_bytes = 0;
};

/// Bounds of an address for short calls.
struct call_plan {
  std::size_t max_connections = 0;
  /// Requests that are being read or served.
  std::size_t request_bytes = 0;
  /// Answers that are being written.
  std::size_t answer_bytes = 0;
};

/// Bounds of the proxy's entry instance.
struct entry_plan {
  std::size_t max_callers = 0;
  /// Connections to endpoints and other entry instances, in use and at rest.
  std::size_t max_upstreams = 0;
  /// Callers' requests that are being read or served.
  std::size_t request_bytes = 0;
  /// Answers of endpoints that are being forwarded.
  std::size_t answer_bytes = 0;
  /// What the kernel may receive for callers' connections and for those to endpoints, beyond a
  /// little for each.
  std::size_t caller_socket_bytes = 0;
  std::size_t upstream_socket_bytes = 0;
  call_plan readiness;
  call_plan metrics;
  peer_plan peers;
};

/// Bounds of the proxy's control instance.
struct control_plan {
  call_plan calls;
  call_plan metrics;
  peer_plan peers;
};

/// Bounds of an instance of the daemon.
struct daemon_plan {
  std::size_t max_callers = 0;
  std::size_t max_upstreams = 0;
  std::size_t request_bytes = 0;
  /// Whole answers that are arriving, and answers that wait until their callers read them.
  std::size_t arriving_bytes = 0;
  std::size_t answer_bytes = 0;
  std::size_t caller_socket_bytes = 0;
  std::size_t upstream_socket_bytes = 0;
  call_plan operators;
  peer_plan peers;
};

[[nodiscard]] entry_plan plan_entry(machine const& machine);
[[nodiscard]] control_plan plan_control(machine const& machine);
[[nodiscard]] daemon_plan plan_daemon(machine const& machine);

/// What the kernel may receive for a connection that waits until it is accepted, and for one that
/// gets no larger share.
inline constexpr std::size_t min_socket_bytes = 4UL * 1024;
/// What it may receive for a connection while there are few.
inline constexpr std::size_t usual_socket_bytes = 16UL * 1024;
/// What it may receive for a connection from which a body is read.
inline constexpr std::size_t max_socket_bytes = 64UL * 1024;
/// What it may receive for a connection between instances.
inline constexpr std::size_t peer_socket_bytes = 24UL * 1024;
/// Connections that may wait at one address until they are accepted.
inline constexpr int max_waiting_connections = 512;
/// Connections beyond the limit that are told so at the same time.
inline constexpr std::size_t max_rejected_connections = 16;
/// What a caller's connection takes up while its request is served, besides its request, its answer
/// and what the kernel holds.
inline constexpr std::size_t bytes_per_caller = 20UL * 1024;

/// The descriptors for sockets.
[[nodiscard]] std::size_t socket_descriptors(machine const& machine);

} // namespace catkinlanding::resources
