#include <libraries/resources/plan.h>

#include <algorithm>

namespace catkinlanding::resources {

namespace {

constexpr std::size_t kibibyte = 1024;

/// Descriptors for files, timers, listeners and the log, and the part of all that they may be.
constexpr std::size_t reserved_descriptors = 200;
constexpr std::size_t reserved_divisor = 8;

/// The fewest connections that are useful at an address.
constexpr std::size_t min_connections = 8;

/// Parts of the memory: one in this many bytes.
struct divisors {
  std::size_t requests = 6;
  std::size_t answers = 12;
  /// What the kernel receives for callers, and for connections to endpoints.
  std::size_t sockets = 24;
  /// Frames between instances, received and sent.
  std::size_t frames = 30;
  std::size_t queued_frames = 30;
};

constexpr divisors entry_divisors{};
constexpr divisors control_divisors{.frames = 8, .queued_frames = 8};
constexpr divisors daemon_divisors{.requests = 8, .answers = 16, .frames = 12, .queued_frames = 24};
constexpr std::size_t operator_requests_divisor = 8;
constexpr std::size_t operator_answers_divisor = 32;

/// A deployment of hundreds of instances has one connection in each direction to each of them.
constexpr std::size_t peer_descriptor_divisor = 9;
constexpr std::size_t entry_peer_descriptor_divisor = 16;
constexpr std::size_t memory_per_peer = 256 * kibibyte;

std::size_t part(std::size_t whole, std::size_t divisor, std::size_t max) {
  return std::clamp(whole / divisor, std::min(min_connections, max), max);
}

/// What a process has besides all that is bounded here.
constexpr std::size_t own_bytes = 12 * 1024 * kibibyte;
/// What the connection of a call takes up besides its request and its answer.
constexpr std::size_t bytes_per_call = 8 * kibibyte;
/// Callers get this part of a small memory, though all else could take it up.
constexpr std::size_t min_caller_divisor = 8;

std::size_t left_of(std::size_t whole, std::size_t used) {
  return whole - std::min(whole, used);
}

/// Endpoints get a quarter more connections than callers, for requests that are sent to a second
/// one and for connections at rest.
constexpr std::size_t caller_parts = 4;
constexpr std::size_t upstream_parts = 5;

struct caller_shares {
  std::size_t callers = 0;
  std::size_t upstreams = 0;
};

/// `used_bytes` is what all else may take up.
caller_shares divide(machine const& machine, std::size_t descriptors, std::size_t used_bytes) {
  auto const memory = machine.memory_bytes;
  auto const left = std::max(left_of(memory, used_bytes), memory / min_caller_divisor);
  auto const sockets = min_socket_bytes + min_socket_bytes * upstream_parts / caller_parts;
  auto const by_memory = left / (bytes_per_caller + sockets);
  auto const by_descriptors = descriptors * caller_parts / (caller_parts + upstream_parts);
  auto const callers = std::max(std::min(by_descriptors, by_memory), min_connections);
  return {.callers = callers, .upstreams = callers * upstream_parts / caller_parts};
}

/// What the requests of an address, its answers and its connections may take up.
std::size_t memory_of(call_plan const& plan) {
  return plan.max_connections * (bytes_per_call + min_socket_bytes) + plan.request_bytes +
         plan.answer_bytes;
}

std::size_t memory_of(peer_plan const& plan) {
  return plan.max_inbound * peer_socket_bytes + plan.frame_bytes + plan.queue_bytes;
}

std::size_t waiting_bytes(std::size_t addresses) {
  return addresses * max_waiting_connections * min_socket_bytes;
}

peer_plan plan_peers(machine const& machine, std::size_t descriptor_divisor,
                     divisors const& divisors) {
  auto const max_peers = std::max(machine.memory_bytes / memory_per_peer, min_connections);
  auto const connections = part(socket_descriptors(machine), descriptor_divisor, max_peers);
  return {.max_inbound = connections,
          .max_outbound = connections,
          .frame_bytes = machine.memory_bytes / divisors.frames,
          .queue_bytes = machine.memory_bytes / divisors.queued_frames};
}

call_plan plan_checks(std::size_t max_connections) {
  constexpr std::size_t request_bytes = 256 * kibibyte;
  constexpr std::size_t answer_bytes = 1024 * kibibyte;
  return {.max_connections = max_connections,
          .request_bytes = request_bytes,
          .answer_bytes = answer_bytes};
}

} // namespace

std::size_t socket_descriptors(machine const& machine) {
  auto const reserved = std::min(reserved_descriptors, machine.descriptors / reserved_divisor);
  return machine.descriptors - reserved;
}

entry_plan plan_entry(machine const& machine) {
  constexpr std::size_t max_readiness = 64;
  constexpr std::size_t max_metrics = 32;
  constexpr std::size_t readiness_divisor = 24;
  constexpr std::size_t metrics_divisor = 48;
  auto const sockets = socket_descriptors(machine);
  auto const memory = machine.memory_bytes;
  entry_plan plan;
  plan.readiness = plan_checks(part(sockets, readiness_divisor, max_readiness));
  plan.metrics = plan_checks(part(sockets, metrics_divisor, max_metrics));
  plan.peers = plan_peers(machine, entry_peer_descriptor_divisor, entry_divisors);
  auto const others = plan.readiness.max_connections + plan.metrics.max_connections +
                      plan.peers.max_inbound + plan.peers.max_outbound + max_rejected_connections;
  plan.request_bytes = memory / entry_divisors.requests;
  plan.answer_bytes = memory / entry_divisors.answers;
  plan.caller_socket_bytes = memory / entry_divisors.sockets;
  plan.upstream_socket_bytes = memory / entry_divisors.sockets;
  constexpr std::size_t addresses = 4;
  auto const used = own_bytes + plan.request_bytes + plan.answer_bytes + plan.caller_socket_bytes +
                    plan.upstream_socket_bytes + memory_of(plan.readiness) +
                    memory_of(plan.metrics) + memory_of(plan.peers) + waiting_bytes(addresses);
  auto const shares = divide(machine, left_of(sockets, others), used);
  plan.max_callers = shares.callers;
  plan.max_upstreams = shares.upstreams;
  return plan;
}

control_plan plan_control(machine const& machine) {
  constexpr std::size_t max_metrics = 16;
  constexpr std::size_t metrics_divisor = 48;
  /// Each endpoint of a large deployment keeps a connection to the leader.
  constexpr std::size_t call_parts = 13;
  constexpr std::size_t all_parts = 16;
  auto const sockets = socket_descriptors(machine);
  auto const memory = machine.memory_bytes;
  control_plan plan;
  plan.metrics = plan_checks(part(sockets, metrics_divisor, max_metrics));
  plan.peers = plan_peers(machine, peer_descriptor_divisor, control_divisors);
  plan.calls.max_connections =
      std::min(sockets * call_parts / all_parts,
               left_of(sockets, plan.metrics.max_connections + 2 * plan.peers.max_inbound));
  plan.calls.request_bytes = memory / control_divisors.requests;
  plan.calls.answer_bytes = memory / control_divisors.answers;
  return plan;
}

daemon_plan plan_daemon(machine const& machine) {
  constexpr std::size_t max_operators = 64;
  constexpr std::size_t operators_divisor = 24;
  auto const sockets = socket_descriptors(machine);
  auto const memory = machine.memory_bytes;
  daemon_plan plan;
  plan.operators = {.max_connections = part(sockets, operators_divisor, max_operators),
                    .request_bytes = memory / operator_requests_divisor,
                    .answer_bytes = memory / operator_answers_divisor};
  plan.peers = plan_peers(machine, peer_descriptor_divisor, daemon_divisors);
  auto const others =
      plan.operators.max_connections + 2 * plan.peers.max_inbound + max_rejected_connections;
  plan.request_bytes = memory / daemon_divisors.requests;
  plan.arriving_bytes = memory / daemon_divisors.answers;
  plan.answer_bytes = memory / daemon_divisors.answers;
  plan.caller_socket_bytes = memory / daemon_divisors.sockets;
  plan.upstream_socket_bytes = memory / daemon_divisors.sockets;
  constexpr std::size_t addresses = 3;
  auto const used = own_bytes + plan.request_bytes + plan.arriving_bytes + plan.answer_bytes +
                    plan.caller_socket_bytes + plan.upstream_socket_bytes +
                    memory_of(plan.operators) + memory_of(plan.peers) + waiting_bytes(addresses);
  auto const shares = divide(machine, left_of(sockets, others), used);
  plan.max_callers = shares.callers;
  plan.max_upstreams = shares.upstreams;
  return plan;
}

} // namespace catkinlanding::resources
