#pragma once

#include <libraries/proxy/router.h>

#include <optional>
#include <string>
#include <string_view>

/// The structured log lines about callers' requests, from which the cause of a failed one can be
/// found; see docs/OPERATIONS.md.
namespace catkinlanding::proxy::request_log {

/// A finished request.
struct ended_request {
  base::request_id const& id;
  request_end end = request_end::answered;
  std::string_view reason;
  std::string_view route;
  std::string_view customer;
  std::uint32_t attempts = 0;
  /// Events of a stream that the caller received.
  std::size_t events = 0;
  std::optional<base::duration> first_event;
  base::duration longest_pause{};
  base::duration took{};
  /// How the last attempt failed, and what it had come to; nothing if none did.
  std::optional<attempt_failure> last_failure;
  std::optional<attempt_report> last_attempt;
  /// The document in force at the end, by which a refusal was decided.
  document_status document;
};

void ended(ended_request const& request);
/// A request begins to wait for state that is missing after the start; its caller still waits for
/// so long, if known.
void awaiting_state(base::request_id const& id, std::optional<base::duration> left);
/// A request waited for state that was missing after the start.
void waited(base::request_id const& id, router const& router, base::duration time);
void attempt_started(base::request_id const& id, std::string_view session, attempt const& attempt,
                     base::monotonic_time now);
/// It was decided whether a doubtful answer is replaced.
void model_chosen(base::request_id const& id, cascade::choice const& made);
/// The request was passed on to another entry instance, as this one can't reach the endpoints.
void relayed(base::request_id const& id, relay const& relay);
/// The request is said to have been passed on, without a proof that an entry instance did.
void relay_unproven(base::request_id const& id);
/// A failed attempt of a request.
struct failed_attempt {
  base::request_id const& id;
  std::uint32_t number = 0;
  attempt_failure failure = attempt_failure::broken;
  /// The status of the endpoint's answer; 0 if none came.
  unsigned status = 0;
  /// Events of a stream that the caller received.
  std::size_t events = 0;
  /// Nothing if the request was passed on to another entry instance.
  std::optional<attempt_report> report;
};

void attempt_failed(failed_attempt const& attempt);
/// An attempt that should replace another one was given up, as the other gets on or the request
/// ends.
void attempt_withdrawn(base::request_id const& id, std::uint32_t number,
                       std::optional<attempt_report> const& report);
/// An endpoint stated something new about itself in its answer to the attempt.
void notice_taken(base::request_id const& id, attempt const& attempt, notice_change const& change);
/// What an endpoint states about itself could not be read.
void notice_ignored(base::request_id const& id, attempt const& attempt, notice_kind kind);
/// The request was refused because all endpoints want requests later; this one accepts the first.
void deferred(base::request_id const& id, deferral const& deferral);
/// The request was refused for a part of its prompt under which endpoints ended.
void quarantined(base::request_id const& id, quarantined_trait const& quarantine);

} // namespace catkinlanding::proxy::request_log
