#pragma once

#include <libraries/proxy/endpoint.h>
#include <libraries/proxy/replicated_state.h>

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
};

/// What operators and endpoints ask of the control instances.
using call_request = std::variant<replace_document, read_document, start_rollout, read_rollout,
                                  announce_endpoint, withdraw_endpoint>;

enum class reply_kind : std::uint8_t {
  /// It holds, and is durable where it has to be.
  done,
  /// The document or the rollout is in the reply.
  found,
  not_found,
  /// Another instance leads, or none that is known.
  not_leader,
  /// This instance can't be sure of the newest state now, or takes no more.
  unavailable,
  /// A rollout of the service to another version is under way.
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
  /// The document as the operator wrote it.
  std::string source;
  std::optional<proxy::rollout> rollout;
  std::optional<base::instance_id> leader;
};

} // namespace catkinlanding::proxy
