#pragma once

#include <libraries/proxy/call.h>
#include <libraries/proxy/request.h>
#include <libraries/warmup/cold_endpoints.h>
#include <services/proxy/http.h>

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace catkinlanding::proxy {

/// Why a caller's request could not be parsed.
enum class request_error : std::uint8_t { no_host, no_request_id, bad_number, bad_prompt };

[[nodiscard]] constexpr char const* name_of(request_error error) {
  switch (error) {
  case request_error::no_host:
    return "no_host";
  case request_error::no_request_id:
    return "no_request_id";
  case request_error::bad_number:
    return "bad_number";
  case request_error::bad_prompt:
    return "bad_prompt";
  }
  return "unknown";
}

/// Metadata from the headers of an endpoint's answer.
struct answer_metadata {
  /// Whether it answers this request, not an earlier one on the same connection.
  bool matches_request = false;
  /// Whether it carries the id of a request.
  bool names_request = false;
  /// Whether the answer carries the seal of the endpoint that produced it.
  bool is_sealed = false;
  /// Whether the endpoint states that it did not execute the request.
  bool is_not_executed = false;
  /// Whether a different endpoint than the intended one answered.
  bool is_wrong_endpoint = false;
  /// What the endpoint states about itself.
  endpoint_notice notice;
  /// Statements about itself that could not be read; they are ignored.
  std::vector<notice_kind> unreadable_notices;
  /// The model's confidence in its answer, from 0 to 1; empty if it reports none.
  std::optional<double> confidence;
};

/// Why a call from an operator or endpoint was rejected before it was executed.
enum class call_error_kind : std::uint8_t { unknown_call, unreadable, invalid };

struct call_error {
  call_error_kind kind = call_error_kind::unknown_call;
  /// Description for the log and the caller.
  std::string detail;
};

/// Translates between a platform's HTTP conventions (header names, paths, statuses and body
/// formats) and the types of the proxy. It has no state and makes no routing decisions.
class protocol_adapter {
public:
  protocol_adapter() = default;
  protocol_adapter(protocol_adapter const&) = delete;
  protocol_adapter& operator=(protocol_adapter const&) = delete;
  virtual ~protocol_adapter() = default;

  [[nodiscard]] virtual tl::expected<request_facts, request_error>
  read_request(http_request_header const& header) const = 0;

  /// How long the caller waits for the complete answer; empty if it does not say so.
  [[nodiscard]] virtual tl::expected<std::optional<base::duration>, request_error>
  read_timeout(http_request_header const& header) const = 0;

  /// Rewrites a caller's header for an endpoint. `remaining` is the time until the deadline, and
  /// `last_event` the id of the last event delivered if the attempt resumes a stream.
  virtual void prepare_request_header(http_request_header& header, attempt const& attempt,
                                      base::duration remaining,
                                      std::optional<std::string> const& last_event) const = 0;

  /// Rewrites a caller's header for another entry instance, which handles it like a caller's.
  virtual void prepare_relayed_header(http_request_header& header, relay const& relay,
                                      base::duration remaining,
                                      std::optional<std::string> const& last_event) const = 0;

  [[nodiscard]] virtual answer_metadata read_answer(http_response_header const& header,
                                                    base::request_id const& request,
                                                    base::endpoint_id const& endpoint) const = 0;

  [[nodiscard]] virtual http_response write_refusal(refusal const& refusal) const = 0;

  [[nodiscard]] virtual tl::expected<call_request, call_error>
  read_call(http_request const& request) const = 0;

  /// The answer to a call, without the text of a document that the reply holds: that is its body.
  /// `leader` is the address at which the leader accepts calls, as "ip:port"; empty if unknown.
  [[nodiscard]] virtual http_response write_reply(http_request const& request,
                                                  call_request const& call, call_reply const& reply,
                                                  std::string const& leader) const = 0;
  [[nodiscard]] virtual http_response write_call_error(call_error const& error) const = 0;

  /// The rates that cold endpoints can sustain, by a document that was accepted before.
  [[nodiscard]] virtual warmup::service_rates
  read_cold_rates(std::string const& document) const = 0;

  /// Whether the target is the one that the platform's load balancer probes.
  [[nodiscard]] virtual bool is_readiness_check(std::string_view target) const = 0;
};

} // namespace catkinlanding::proxy
