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
  /// The document in force at the end, by which a refusal was decided.
  document_status document;
};

void ended(ended_request const& request);
/// A request waited for state that was missing after the start.
void waited(base::request_id const& id, router const& router, base::duration time);
void attempt_started(base::request_id const& id, std::string_view session, attempt const& attempt,
                     base::monotonic_time now);
/// The request was passed on to another entry instance, as this one can't reach the endpoints.
void relayed(base::request_id const& id, relay const& relay);
/// `status` is that of the endpoint's answer; 0 if none came.
void attempt_failed(base::request_id const& id, std::uint32_t number, attempt_failure failure,
                    unsigned status, std::size_t events);
/// An endpoint stated something new about itself in its answer to the attempt.
void notice_taken(base::request_id const& id, attempt const& attempt, notice_change const& change);
/// What an endpoint states about itself could not be read.
void notice_ignored(base::request_id const& id, attempt const& attempt, notice_kind kind);
/// The request was refused because all endpoints want requests later; this one accepts the first.
void deferred(base::request_id const& id, deferral const& deferral);
/// The request was refused for a part of its prompt under which endpoints ended.
void quarantined(base::request_id const& id, quarantined_trait const& quarantine);

} // namespace catkinlanding::proxy::request_log
