#pragma once

#include <libraries/proxy/endpoint.h>
#include <libraries/proxy/replicated_state.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace catkinlanding::proxy {

struct read_document {};

struct read_rollout {
  base::service_id service;
};

struct announce_endpoint {
  endpoint_announcement announcement;
};

struct withdraw_endpoint {
  base::endpoint_id endpoint;
  /// The start that is withdrawn, as in `announcement_number`; nothing if the call names none.
  std::optional<std::uint64_t> incarnation = {};
};

/// Takes an availability zone out of use: no entry instance sends further requests to its
/// endpoints.
struct begin_evacuation {
  base::availability_zone_id zone;
};

/// Puts an availability zone back into use.
struct end_evacuation {
  base::availability_zone_id zone;
};

/// A call from an operator or an endpoint to a control instance.
using call_request =
    std::variant<replace_document, read_document, start_rollout, read_rollout, announce_endpoint,
                 withdraw_endpoint, begin_evacuation, end_evacuation>;

enum class reply_kind : std::uint8_t {
  /// The request is in effect, and durable if it has to be.
  done,
  /// The reply contains the document or the rollout.
  found,
  not_found,
  /// Another instance is the leader, or no leader is known.
  not_leader,
  /// This instance currently can't guarantee that its state is the newest, or has reached a limit.
  unavailable,
  /// A rollout of the service to another version is in progress.
  conflict,
};

[[nodiscard]] constexpr char const* name_of(reply_kind kind) {
  switch (kind) {
  case reply_kind::done:
    return "done";
  case reply_kind::found:
    return "found";
  case reply_kind::not_found:
    return "not_found";
  case reply_kind::not_leader:
    return "not_leader";
  case reply_kind::unavailable:
    return "unavailable";
  case reply_kind::conflict:
    return "conflict";
  }
  return "unknown";
}

struct call_reply {
  reply_kind kind = reply_kind::unavailable;
  /// The original text of the document, which all replies share.
  std::shared_ptr<std::string const> source;
  std::optional<proxy::rollout> rollout;
  std::optional<base::instance_id> leader;
};

/// The reply to `read_document`: the original text of the document in force, or `not_found` before
/// the first one.
[[nodiscard]] call_reply read_document_reply(replicated_state const& state);
/// The reply to `read_rollout`: the service's latest rollout, or `not_found` if it had none.
[[nodiscard]] call_reply read_rollout_reply(replicated_state const& state,
                                            read_rollout const& request);

} // namespace catkinlanding::proxy
