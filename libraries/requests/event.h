#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>
#include <libraries/claims/message.h>
#include <libraries/routing/rating_message.h>
#include <libraries/sessions/message.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace catkinlanding::requests {

/// Names a caller's connection within this instance.
using request_number = std::uint64_t;
/// Names one try at one endpoint within this instance.
using attempt_number = std::uint64_t;

struct completion_target {
  base::model_id model;
};

struct service_target {
  base::service_id service;
  std::string method;
  /// The path behind the service's name.
  std::string path;
};

using request_target = std::variant<completion_target, service_target>;

/// A request as it came from the caller, whole.
struct caller_request {
  request_number number = 0;
  std::string customer_key;
  request_target target;
  bool is_stream = false;
  std::string content_type;
  std::shared_ptr<std::string const> body;
  std::optional<std::string> idempotency_key;
  std::optional<base::session_id> session;
  std::optional<base::class_id> request_class;
  std::optional<base::duration> deadline;
  base::wall_time received_at{};
};

/// The caller closed its connection.
struct caller_disconnected {
  request_number number = 0;
};

/// The endpoint began its answer, with a status that is not an error of the endpoint's own.
struct attempt_head {
  attempt_number attempt = 0;
  /// The status of HTTP, which the caller gets as it is.
  std::uint32_t status = 200;
  std::string content_type;
};

struct attempt_data {
  attempt_number attempt = 0;
  std::string bytes;
};

struct token_usage {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
};

/// The endpoint's answer is whole.
struct attempt_finished {
  attempt_number attempt = 0;
  token_usage usage;
};

enum class attempt_failure_kind : std::uint8_t {
  /// Nothing was sent: the endpoint could not be reached.
  not_sent,
  /// The endpoint said that it did not run the request, for it is leaving or full.
  refused,
  /// The endpoint answered with an error of its own.
  error_status,
  /// The connection ended before the answer was whole.
  broken,
};

struct attempt_failed {
  attempt_number attempt = 0;
  attempt_failure_kind kind = attempt_failure_kind::broken;
};

/// The replicated log decided on an action of this instance.
struct claim_decided {
  claims::decision decision;
};

/// The replicated log decided on the version of a session; what it granted is in the cache of pins.
struct session_decided {
  sessions::session_key key;
  sessions::verdict_kind verdict = sessions::verdict_kind::pinned;
};

/// The bill would outlive this instance: another one holds it, or enough ledgers do.
struct bill_replicated {
  base::request_id request;
};

/// What the rating service says of an answer that is held back.
struct answer_evaluated {
  request_number number = 0;
  routing::judgement judgement = routing::judgement::unknown;
};

using event =
    std::variant<caller_request, caller_disconnected, attempt_head, attempt_data, attempt_finished,
                 attempt_failed, answer_evaluated, claim_decided, session_decided, bill_replicated>;

} // namespace catkinlanding::requests
