#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <optional>

namespace catkinlanding::proxy {

/// What a request's current attempt has come to, for the log.
struct attempt_report {
  base::endpoint_id endpoint;
  /// Whether the endpoint has begun its answer.
  bool has_answer = false;
  /// Time since the attempt began, its answer began or the latest event of its stream arrived.
  base::duration silence{};
  /// How long the silence may last before the attempt counts as stalled. Nothing if no other
  /// attempt could follow it, or while too little is known.
  std::optional<base::duration> max_silence;
  /// Age of the latest answer that this limit was learned from; nothing before the first one.
  std::optional<base::duration> learned_age;
  /// Time until the caller's wait ends; negative afterwards.
  base::duration time_left{};
  /// Endpoints that the request may still be sent to.
  std::uint32_t attempts_left = 0;
};

} // namespace catkinlanding::proxy
