#pragma once

#include <libraries/base/address.h>
#include <libraries/billing/bill.h>
#include <libraries/requests/event.h>
#include <libraries/requests/failure.h>

#include <vector>

namespace catkinlanding::requests {

/// Sends a request to an endpoint.
struct dispatch {
  attempt_number attempt = 0;
  base::address address;
  std::string method;
  std::string path;
  std::string content_type;
  std::shared_ptr<std::string const> body;
  /// Set for engines, which may serve several versions.
  base::version_id version;
  base::request_id request;
  std::uint32_t priority = 0;
  bool is_stream = false;
};

struct cancel_attempt {
  attempt_number attempt = 0;
};

/// Starts the answer to a caller.
struct reply_head {
  request_number number = 0;
  std::uint32_t status = 200;
  bool is_stream = false;
  std::string content_type;
  base::model_id model;
  base::version_id version;
  /// The version that the request's session was on before; empty where it never moved.
  base::version_id session_moved_from;
};

struct reply_data {
  request_number number = 0;
  std::string bytes;
};

/// Ends the answer; the caller now has all of it.
struct reply_end {
  request_number number = 0;
};

/// Ends the request without a whole answer.
struct reply_failure {
  request_number number = 0;
  requests::failure failure;
  /// Whether a part of the answer was sent already, so that the connection must be broken off.
  bool is_answer_started = false;
  /// Empty where the request was refused before they were known.
  base::customer_id customer;
  base::class_id request_class;
};

struct charge {
  billing::bill bill;
};

/// Brings an action to the replicated log, until it is decided.
struct claim_action {
  claims::action action;
};

/// Asks the replicated log for the session's version, and names one to bind it to.
struct pin_session {
  sessions::session_key key;
  base::version_id version;
};

/// Asks the rating service about an answer that the caller has not got yet.
struct evaluate_answer {
  request_number number = 0;
  routing::rated_answer subject;
  /// Who is asked next where it is poor.
  base::version_id escalates_to;
};

/// Asks the rating service about an answer that the caller has got.
struct rate_answer {
  request_number number = 0;
  /// What the rating will be for.
  routing::rating arm;
  routing::rated_answer subject;
};

/// Times of one finished request, for the histograms.
struct observe_request {
  base::customer_id customer;
  base::class_id request_class;
  base::duration time_to_first_byte{};
  base::duration total{};
};

/// How long a request waited for room at an endpoint: once for each attempt that starts, and once
/// for each wait that ends without one.
struct observe_queueing {
  base::customer_id customer;
  base::class_id request_class;
  base::duration queueing{};
};

using effect = std::variant<dispatch, cancel_attempt, reply_head, reply_data, reply_end,
                            reply_failure, charge, observe_request, observe_queueing,
                            evaluate_answer, rate_answer, claim_action, pin_session>;
using effects = std::vector<effect>;

} // namespace catkinlanding::requests
