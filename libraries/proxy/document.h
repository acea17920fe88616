#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Requests that are passed on unchanged: which endpoint takes each, and how the instances agree
/// on the routes. The catalogue of models governs the product's own interface; this part serves
/// callers whose requests and answers the system must not touch.
namespace catkinlanding::proxy {

/// What may be done again when an attempt fails.
enum class route_kind : std::uint8_t {
  /// The request may run several times.
  idempotent,
  /// The request runs once at most.
  at_most_once,
  /// A series of events that runs once at most.
  stream,
  /// A series of events that another endpoint can continue behind the last one delivered.
  resumable_stream,
};
/// Greater numbers are refused when they are decoded.
constexpr route_kind last_enumerator(route_kind /*any*/) {
  return route_kind::resumable_stream;
}

/// Part of a route's requests, by weight.
struct service_share {
  base::service_id service;
  std::uint32_t weight = 0;

  bool operator==(service_share const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(service, weight);
  }
};

/// Where the requests for one host and path prefix go.
struct route {
  std::string name;
  std::string host;
  /// Starts and ends with a slash.
  std::string path_prefix;
  route_kind kind = route_kind::at_most_once;
  std::vector<service_share> shares;
  /// The longest that a caller is kept waiting for the end of an answer.
  base::duration timeout{};
  /// By when the answer, or the first event of a stream, should be there.
  base::duration target_latency{};
  /// The longest pause between two events of a stream that counts as on time.
  base::duration target_pause{};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Endpoints to which one request may be sent.
  std::uint32_t max_attempts = 1;
  /// Whether requests need no customer key.
  bool is_public = false;
  /// Models among which the system chooses, the smallest first; empty where the caller names one.
  std::vector<base::model_id> models;

  bool operator==(route const&) const = default;

  [[nodiscard]] bool is_stream() const {
    return kind == route_kind::stream || kind == route_kind::resumable_stream;
  }
  /// Whether an attempt that may have run can be followed by another.
  [[nodiscard]] bool is_repeatable() const {
    return kind == route_kind::idempotent || kind == route_kind::resumable_stream;
  }

  template<class Archive>
  void serialize(Archive& archive) {
    archive(name, host, path_prefix, kind, shares, timeout, target_latency, target_pause, priority,
            max_attempts, is_public, models);
  }
};

/// Endpoints that run the same requests.
struct service {
  base::service_id id;
  /// Connections that one endpoint accepts from all instances together; 0 where it is not known.
  std::uint32_t max_connections = 0;
  /// Requests that one endpoint runs at once; 0 where it is not known.
  std::uint32_t slots = 0;
  /// Tokens that the memory of one model engine holds; 0 on other services.
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
  /// Goes before the priority of the route where it is set.
  std::optional<std::uint32_t> priority;

  bool operator==(customer const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(id, keys, priority);
  }
};

/// What a caller may send, and for how long it may be silent.
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

/// The whole of what operators say, replaced as one under a number of their own.
struct document {
  /// 0 before the first one.
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
  /// No number, or 0, which stands for none.
  no_revision,
  unknown_service,
  /// Another route has the same host and path prefix.
  duplicate_prefix,
  /// The weights of a route add up to nothing.
  no_weight,
  no_timeout,
  /// Another customer has the same key.
  shared_key,
};

/// One reason why a document can't be put in force.
struct document_fault {
  document_fault_kind kind = document_fault_kind::no_revision;
  /// The route or customer that is at fault.
  std::string subject;

  bool operator==(document_fault const&) const = default;
};

[[nodiscard]] char const* name_of(document_fault_kind kind);

/// Every fault of the document.
[[nodiscard]] std::vector<document_fault> find_faults(document const& document);

} // namespace catkinlanding::proxy
