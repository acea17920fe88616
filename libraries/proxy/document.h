#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Reverse proxy for requests that are forwarded unchanged: selects an endpoint for each request
/// and replicates the routing configuration among the instances. In contrast to the model
/// catalogue, which governs the product's own API, this part never modifies requests or responses.
namespace catkinlanding::proxy {

/// Determines which retries are allowed after a failed attempt.
enum class route_kind : std::uint8_t {
  /// The request may be executed several times.
  idempotent,
  /// The request is executed at most once.
  at_most_once,
  /// An event stream, executed at most once.
  stream,
  /// An event stream that another endpoint can resume after the last delivered event.
  resumable_stream,
};
/// Larger values are rejected during decoding.
constexpr route_kind last_enumerator(route_kind /*any*/) {
  return route_kind::resumable_stream;
}

/// A weighted share of a route's requests.
struct service_share {
  base::service_id service;
  std::uint32_t weight = 0;

  bool operator==(service_share const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(service, weight);
  }
};

/// Routing rule for the requests to one host and path prefix.
struct route {
  std::string name;
  std::string host;
  /// Starts and ends with a slash.
  std::string path_prefix;
  route_kind kind = route_kind::at_most_once;
  std::vector<service_share> shares;
  /// Longest time until the complete response.
  base::duration timeout{};
  /// Target time to the response, or to the first event of a stream.
  base::duration target_latency{};
  /// Target for the longest pause between two events of a stream.
  base::duration target_pause{};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Number of endpoints that one request may be sent to.
  std::uint32_t max_attempts = 1;
  /// Whether requests are accepted without a customer key.
  bool is_public = false;
  /// Models among which the system chooses, smallest first; empty if the caller specifies one.
  std::vector<base::model_id> models;

  bool operator==(route const&) const = default;

  [[nodiscard]] bool is_stream() const {
    return kind == route_kind::stream || kind == route_kind::resumable_stream;
  }
  /// Whether another attempt is allowed after one that may have been executed.
  [[nodiscard]] bool is_repeatable() const {
    return kind == route_kind::idempotent || kind == route_kind::resumable_stream;
  }
  /// Whether an answer can be replaced by that of another endpoint.
  [[nodiscard]] bool allows_second_run() const { return is_repeatable() && max_attempts > 1; }

  template<class Archive>
  void serialize(Archive& archive) {
    archive(name, host, path_prefix, kind, shares, timeout, target_latency, target_pause, priority,
            max_attempts, is_public, models);
  }
};

/// A group of interchangeable endpoints.
struct service {
  base::service_id id;
  /// Number of connections that one endpoint accepts from all instances together; 0 if unknown.
  std::uint32_t max_connections = 0;
  /// Number of requests that one endpoint runs concurrently; 0 if unknown.
  std::uint32_t slots = 0;
  /// KV cache capacity of one model engine in tokens; 0 for other services.
  std::uint64_t memory_tokens = 0;

  bool operator==(service const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(id, max_connections, slots, memory_tokens);
  }
};

struct customer {
  base::customer_id id;
  std::vector<std::string> keys;
  /// Overrides the priority of the route if set.
  std::optional<std::uint32_t> priority;

  bool operator==(customer const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(id, keys, priority);
  }
};

/// Size limits and timeouts for callers.
struct caller_limits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint32_t max_body_bytes = 4 * 1024 * 1024;
  base::duration header_timeout = std::chrono::seconds(3);
  base::duration idle_timeout = std::chrono::seconds(15);

  bool operator==(caller_limits const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(max_header_bytes, max_body_bytes, header_timeout, idle_timeout);
  }
};

/// The complete routing configuration, written by operators and always replaced as a whole.
struct document {
  /// Increases with each document; 0 before the first one.
  std::uint64_t revision = 0;
  std::vector<route> routes;
  std::vector<service> services;
  std::vector<customer> customers;
  caller_limits limits;

  bool operator==(document const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(revision, routes, services, customers, limits);
  }
};

enum class document_fault_kind : std::uint8_t {
  /// The revision is missing or 0.
  no_revision,
  unknown_service,
  /// Another route has the same host and path prefix.
  duplicate_prefix,
  /// The weights of a route add up to 0.
  no_weight,
  no_timeout,
  /// Another customer has the same key.
  shared_key,
};

/// A reason why a document is invalid.
struct document_fault {
  document_fault_kind kind = document_fault_kind::no_revision;
  /// The route or customer that is affected.
  std::string subject;

  bool operator==(document_fault const&) const = default;
};

[[nodiscard]] char const* name_of(document_fault_kind kind);

/// Identifies the content of a document, so that two under one revision can be told apart. The same
/// on all instances.
[[nodiscard]] std::uint64_t fingerprint_of(document const& document);

/// Returns every fault of the document.
[[nodiscard]] std::vector<document_fault> find_faults(document const& document);

} // namespace catkinlanding::proxy
