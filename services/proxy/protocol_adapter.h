#pragma once

#include <libraries/proxy/call.h>
#include <libraries/proxy/request.h>
#include <services/proxy/http.h>

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace catkinlanding::proxy {

/// Why a request of a caller can't be read.
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

/// What the head of an endpoint's answer says.
struct answer_metadata {
  /// It answers this request, not an earlier one.
  bool matches_request = false;
  /// It is vouched for by the endpoint that made it.
  bool is_sealed = false;
  /// The endpoint says that it did not run the request.
  bool is_not_executed = false;
  /// Another endpoint than the one meant answered.
  bool is_wrong_endpoint = false;
  /// The model's own opinion of its answer, from 0 to 1; empty where it gives none.
  std::optional<double> confidence;
};

/// Why a call of an operator or endpoint can't be read.
enum class call_error_kind : std::uint8_t { unknown_call, unreadable, invalid };

struct call_error {
  call_error_kind kind = call_error_kind::unknown_call;
  /// What is wrong, for the log and the caller.
  std::string detail;
};

/// How a platform's callers, endpoints and operators write what the product knows: the names of
/// headers and calls, and the forms of bodies. It holds no state and decides nothing.
class protocol_adapter {
public:
  protocol_adapter() = default;
  protocol_adapter(protocol_adapter const&) = delete;
  protocol_adapter& operator=(protocol_adapter const&) = delete;
  virtual ~protocol_adapter() = default;

  [[nodiscard]] virtual tl::expected<request_facts, request_error>
  read_request(http_request_header const& header) const = 0;

  /// Turns a caller's head into the one for an endpoint. `left` is what remains of the caller's
  /// time, and `last_event` the last event that the caller has of a stream that is continued.
  virtual void prepare_request_header(http_request_header& header, attempt const& attempt,
                                      base::duration remaining,
                                      std::optional<std::string> const& last_event) const = 0;

  [[nodiscard]] virtual answer_metadata read_answer(http_response_header const& header,
                                                    base::request_id const& request,
                                                    base::endpoint_id const& endpoint) const = 0;

  [[nodiscard]] virtual http_response write_refusal(refusal const& refusal) const = 0;

  [[nodiscard]] virtual tl::expected<call_request, call_error>
  read_call(http_request const& request) const = 0;

  /// `leader` is where the leader takes calls, as "ip:port"; empty where it is not known.
  [[nodiscard]] virtual http_response write_reply(http_request const& request,
                                                  call_request const& call, call_reply const& reply,
                                                  std::string const& leader) const = 0;
  [[nodiscard]] virtual http_response write_call_error(call_error const& error) const = 0;

  /// Whether the platform's balancer asks with this target.
  [[nodiscard]] virtual bool is_readiness_check(std::string_view target) const = 0;
};

} // namespace catkinlanding::proxy
