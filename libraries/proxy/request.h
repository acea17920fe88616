#pragma once

#include <libraries/base/address.h>
#include <libraries/base/identifier.h>
#include <libraries/base/time.h>
#include <libraries/proxy/endpoint_notice.h>
#include <libraries/proxy/request_trait.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace catkinlanding::proxy {

/// Identifies a caller's request while it is active.
using request_number = std::uint64_t;

/// A part of a prompt that a model engine may have cached.
struct prompt_part {
  std::string id;
  std::uint32_t tokens = 0;

  bool operator==(prompt_part const&) const = default;
};

/// The ids of the parts, separated by commas, for the log.
[[nodiscard]] std::string names_of(std::vector<prompt_part> const& prompt);

/// The attributes of a request that determine its routing.
struct request_facts {
  base::request_id id;
  std::string host;
  std::string path;
  std::optional<std::string> key;
  /// Of the method and the body.
  std::uint64_t content_hash = 0;
  /// How long the caller waits for the complete answer.
  std::optional<base::duration> caller_timeout;
  /// How long the request has already waited in this instance.
  base::duration waited{};
  /// The model requested by the caller; empty if the system chooses one.
  std::optional<base::model_id> model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  /// The parts of the prompt in order. The last one belongs to this request or session alone; the
  /// others may be shared with other requests.
  std::vector<prompt_part> prompt;
  base::session_id session;
  /// Whether another entry instance passed the request on, and to how many endpoints it had sent it
  /// before.
  bool is_relayed = false;
  std::uint32_t attempts_before = 0;
  /// Whether it is known that an entry instance did, and not a caller who says so. That one counts
  /// the request then.
  bool is_relay_proven = false;
  /// How many of these ended under it.
  std::uint32_t endings_before = 0;
};

/// How far an entry instance to which a request was passed on has gone with it, if its answer ends
/// now.
struct relay_tally {
  /// Endpoints that the request was sent to at most, with those of the instances before.
  std::uint32_t attempts = 0;
  /// How many of these ended under it at most.
  std::uint32_t endings = 0;

  bool operator==(relay_tally const&) const = default;
};

/// A decision to send the request to an endpoint.
struct attempt {
  /// 1 for the first endpoint that the request is sent to.
  std::uint32_t number = 1;
  base::endpoint_id endpoint;
  std::uint64_t incarnation = 0;
  base::address address;
  base::version_id version;
  /// Set if the system chooses the model.
  std::optional<base::model_id> model;
  /// Set if the document defines customers and the route is not public.
  std::optional<base::customer_id> customer;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// When the caller's wait for the answer ends.
  base::monotonic_time deadline{};
  bool is_stream = false;
  /// Whether another attempt can continue an interrupted stream.
  bool is_resumable = false;
  /// Inputs of the decision, for logging.
  std::string route;
  std::uint64_t document_revision = 0;
  /// The leader's term and revision of the endpoints that were known, and the time since the last
  /// update; nothing if no leader has sent any.
  std::uint64_t registry_term = 0;
  std::uint64_t registry_revision = 0;
  std::optional<base::duration> registry_age;
  std::uint32_t load = 0;
  /// The ids of the parts of the prompt, separated by commas.
  std::string prompt;
  /// The same for all repeats of the request by its caller.
  std::uint64_t fingerprint = 0;
  /// The endpoint whose attempt goes on until this one is accepted; empty if there is none.
  base::endpoint_id held_endpoint;
};

enum class refusal_kind : std::uint8_t {
  unknown_route,
  unknown_key,
  /// This instance has not received a document yet.
  no_document,
  /// No endpoint of the service accepts requests.
  no_endpoint,
  /// The request has a trait under which endpoints end.
  quarantined,
  /// Every endpoint of the service has stated that it wants requests later: its rate is used up, or
  /// it pauses.
  deferred,
  /// The instance stops before the answer is expected to be complete, and no endpoint executed the
  /// request.
  stopping,
  /// No endpoint executed the request.
  not_run,
  /// The deadline passed, and no endpoint executed the request.
  expired_unsent,
  /// The deadline passed, and an endpoint may have executed the request.
  expired,
  /// An attempt may have executed the request, and no further attempt is allowed.
  outcome_unknown,
};

[[nodiscard]] constexpr char const* name_of(refusal_kind kind) {
  switch (kind) {
  case refusal_kind::unknown_route:
    return "unknown_route";
  case refusal_kind::unknown_key:
    return "unknown_key";
  case refusal_kind::no_document:
    return "no_document";
  case refusal_kind::no_endpoint:
    return "no_endpoint";
  case refusal_kind::quarantined:
    return "quarantined";
  case refusal_kind::deferred:
    return "deferred";
  case refusal_kind::stopping:
    return "stopping";
  case refusal_kind::not_run:
    return "not_run";
  case refusal_kind::expired_unsent:
    return "expired_unsent";
  case refusal_kind::expired:
    return "expired";
  case refusal_kind::outcome_unknown:
    return "outcome_unknown";
  }
  return "unknown";
}

/// A trait whose requests are kept away from endpoints.
struct quarantined_trait {
  request_trait trait;
  /// Endpoint processes that ended under requests with the trait, as far as they are counted.
  std::size_t endings = 0;
  /// Time until the quarantine ends.
  base::duration remaining{};
};

struct refusal {
  refusal_kind kind = refusal_kind::outcome_unknown;
  /// Suggested delay before the caller retries. Set only if the request was certainly not executed
  /// and a retry may succeed.
  std::optional<base::duration> retry_after;
  /// The endpoint that will be the first to accept a request, if all of them want requests later.
  std::optional<proxy::deferral> deferral;
  /// The trait for which the request is refused.
  std::optional<quarantined_trait> quarantine;
  /// The request's route and customer, for logs and metrics; empty if unknown.
  std::string route;
  base::customer_id customer;
};

/// A decision to forward the endpoint's error response to the caller.
struct forward_failure {};

/// A decision to pass the request on to another entry instance. Its answer is final, unless it
/// breaks off.
struct relay {
  base::instance_id peer;
  /// Endpoints that the request was sent to before.
  std::uint32_t attempts_before = 0;
  /// How many of these ended under it.
  std::uint32_t endings_before = 0;
  /// The model whose answer is to be continued; empty if none has begun or the caller named it.
  std::optional<base::model_id> model;
  /// Whether one of these may have executed the request.
  bool may_have_run = false;
  /// When the caller's wait for the answer ends.
  base::monotonic_time deadline{};
  bool is_stream = false;
  /// The request's route and customer, for logs and metrics.
  std::string route;
  base::customer_id customer;
};

using decision = std::variant<attempt, refusal, forward_failure, relay>;

/// What is asked to take the place of an attempt.
using replacement = std::variant<attempt, relay>;

/// Why an attempt failed.
enum class attempt_failure : std::uint8_t {
  /// No byte of the request was sent.
  unreachable,
  /// The endpoint reports that it did not execute the request.
  not_executed,
  /// A different endpoint answered at this address; it did not execute the request.
  wrong_endpoint,
  /// The endpoint answered with an error response.
  failed_answer,
  /// The connection closed before the response was complete.
  broken,
  /// The received data was not a valid response to this request.
  malformed,
  /// The deadline passed.
  expired,
  /// No data arrived for so long that another endpoint was asked, and that one has accepted.
  stalled,
  /// The response was discarded before any of it was forwarded, because a small model's confidence
  /// in it was too low, and the largest model answers instead.
  low_confidence,
};

[[nodiscard]] constexpr char const* name_of(attempt_failure failure) {
  switch (failure) {
  case attempt_failure::unreachable:
    return "unreachable";
  case attempt_failure::not_executed:
    return "not_executed";
  case attempt_failure::wrong_endpoint:
    return "wrong_endpoint";
  case attempt_failure::failed_answer:
    return "failed_answer";
  case attempt_failure::broken:
    return "broken";
  case attempt_failure::malformed:
    return "malformed";
  case attempt_failure::expired:
    return "expired";
  case attempt_failure::stalled:
    return "stalled";
  case attempt_failure::low_confidence:
    return "doubtful";
  }
  return "unknown";
}

/// Whether an endpoint may have executed the request.
[[nodiscard]] constexpr bool may_have_run_after(attempt_failure failure) {
  switch (failure) {
  case attempt_failure::unreachable:
  case attempt_failure::not_executed:
  case attempt_failure::wrong_endpoint:
    return false;
  case attempt_failure::failed_answer:
  case attempt_failure::broken:
  case attempt_failure::malformed:
  case attempt_failure::expired:
  case attempt_failure::stalled:
  case attempt_failure::low_confidence:
    return true;
  }
  return true;
}

/// How a request ended: with a complete answer, with an error response of the endpoint, with a
/// refusal, with an answer that was interrupted, or because the caller disconnected.
enum class request_end : std::uint8_t {
  answered,
  failed_answer,
  refused,
  interrupted,
  caller_disconnected
};

[[nodiscard]] constexpr char const* name_of(request_end end) {
  switch (end) {
  case request_end::answered:
    return "answered";
  case request_end::failed_answer:
    return "failed_answer";
  case request_end::refused:
    return "refused";
  case request_end::interrupted:
    return "cut";
  case request_end::caller_disconnected:
    return "caller_left";
  }
  return "unknown";
}

} // namespace catkinlanding::proxy
