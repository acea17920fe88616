#pragma once

#include <libraries/base/address.h>
#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace catkinlanding::proxy {

/// Names one request of a caller until it has ended.
using request_number = std::uint64_t;

/// A part of a prompt that an engine may keep in its memory.
struct prompt_part {
  std::string id;
  std::uint32_t tokens = 0;

  bool operator==(prompt_part const&) const = default;
};

/// What a request says of itself, as far as it decides where the request goes.
struct request_facts {
  base::request_id id;
  std::string host;
  std::string path;
  std::optional<std::string> key;
  /// How long the caller waits for the end of the answer.
  std::optional<base::duration> caller_timeout;
  /// How long it has waited in this instance already.
  base::duration waited{};
  /// The model that the caller names; empty where it leaves the choice to the system.
  std::optional<base::model_id> model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  /// The parts of the prompt in their order. The last one is the request's or the session's own.
  std::vector<prompt_part> prompt;
  base::session_id session;
};

/// Send the request to this endpoint.
struct attempt {
  /// Counts the endpoints that this request is sent to, from 1.
  std::uint32_t number = 1;
  base::endpoint_id endpoint;
  base::address address;
  base::version_id version;
  /// Set where the system chooses the model.
  std::optional<base::model_id> model;
  /// Set where the document has customers and the route is not public.
  std::optional<base::customer_id> customer;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// By then the caller must have its answer.
  base::monotonic_time deadline{};
  bool is_stream = false;
  /// Whether a broken stream can be continued by another attempt.
  bool is_resumable = false;
  /// The inputs of the decision, for the log.
  std::string route;
  std::uint64_t document_revision = 0;
  std::uint32_t load = 0;
};

enum class refusal_kind : std::uint8_t {
  unknown_route,
  unknown_key,
  /// This instance has no document yet.
  no_document,
  /// No endpoint of the service takes work.
  no_endpoint,
  /// Every endpoint that was asked said that it did not run the request.
  not_run,
  /// The time was over before the request was sent anywhere.
  expired_unsent,
  /// The time is over, and an endpoint may have run the request.
  expired,
  /// An attempt may have run the request, and no other is allowed.
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

struct refusal {
  refusal_kind kind = refusal_kind::outcome_unknown;
  /// When the caller may come back; set where the request surely did not run and may yet.
  std::optional<base::duration> retry_after;
  /// Whose it was, for the log and the metrics; empty where that is not known.
  std::string route;
  base::customer_id customer;
};

/// Give the caller the failure that the endpoint answered with.
struct forward_failure {};

using decision = std::variant<attempt, refusal, forward_failure>;

/// How an attempt failed.
enum class attempt_failure : std::uint8_t {
  /// No byte of the request left.
  unreachable,
  /// The endpoint says that it did not run the request.
  not_executed,
  /// Another endpoint has the address; it did not run the request.
  wrong_endpoint,
  /// The endpoint answered with a failure of its own.
  failed_answer,
  /// The connection ended without a whole answer.
  broken,
  /// The bytes were no answer to this request.
  malformed,
  /// The deadline passed.
  expired,
  /// Nothing came for so long that the endpoint is taken for lost.
  stalled,
  /// The answer was dropped before its first byte was passed on, as a larger model should do
  /// better.
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

/// How a request ended.
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
