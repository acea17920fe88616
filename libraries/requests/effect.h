#pragma once

#include <libraries/base/address.h>
#include <libraries/billing/bill.h>
#include <libraries/requests/event.h>
#include <libraries/requests/failure.h>

#include <vector>

namespace catkinlanding::requests {

/// Sends a request to an endpoint. Each dispatch is one attempt.
struct dispatch {
  attempt_number attempt = 0;
  base::address address;
  std::string method;
  std::string path;
  std::string content_type;
  std::shared_ptr<std::string const> body;
  /// Set for model engines, which can serve several versions; empty for services.
  base::version_id version;
  base::request_id request;
  std::uint32_t priority = 0;
  bool is_stream = false;
};

struct cancel_attempt {
  attempt_number attempt = 0;
};

/// Sends the response headers to the caller.
struct reply_head {
  request_number number = 0;
  std::uint32_t status = 200;
  bool is_stream = false;
  std::string content_type;
  base::model_id model;
  base::version_id version;
  /// The version that the request's session was pinned to before; empty if it never moved.
  base::version_id session_moved_from;
};

struct reply_data {
  request_number number = 0;
  std::string bytes;
};

/// Completes the response.
struct reply_end {
  request_number number = 0;
};

/// Ends the request with an error, or cuts off a response that has already started.
struct reply_failure {
  request_number number = 0;
  requests::failure failure;
  /// Whether part of the response was already sent, so that the connection must be closed.
  bool is_answer_started = false;
  /// The customer, class and id are empty if the request was rejected before they were known.
  base::customer_id customer;
  base::class_id request_class;
  base::request_id request;
  int attempts = 0;
  /// The endpoint that was asked last; empty if none was.
  base::endpoint_id endpoint;
  /// How the last attempt that failed did so; absent if none failed.
  std::optional<attempt_failure_kind> last_failure;
  /// Since its arrival, and until its deadline.
  base::duration took{};
  base::duration left{};
};

/// Records the bill of an answered request.
struct charge {
  billing::bill bill;
};

/// Submits a claim action to the replicated log. It is resent until the log has decided.
struct claim_action {
  claims::action action;
};

/// Asks the replicated log which version the session is pinned to, and proposes one if it has none.
struct pin_session {
  sessions::session_key key;
  base::version_id version;
};

/// Asks the rating service to evaluate an answer before it is delivered to the caller.
struct evaluate_answer {
  request_number number = 0;
  routing::rated_answer subject;
  /// The version that the request is sent to next if the answer is rated poor.
  base::version_id escalates_to;
};

/// Asks the rating service to rate an answer after it was delivered to the caller.
struct rate_answer {
  request_number number = 0;
  /// The model, versions and class that the rating counts for.
  routing::rating arm;
  routing::rated_answer subject;
};

/// Records the latencies of an answered request in the histograms.
struct observe_request {
  base::customer_id customer;
  base::class_id request_class;
  base::duration time_to_first_byte{};
  base::duration total{};
};

/// Records how long a request waited for endpoint capacity: once for each attempt that starts, and
/// once for each wait that ends without an attempt.
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
