#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>
#include <libraries/proxy/request.h>
#include <libraries/proxy/tally_recorder.h>

#include <cstdint>
#include <optional>

namespace catkinlanding::proxy {

/// An attempt of a request at one endpoint, as the router sees it.
struct attempt_state {
  /// 1 for the first endpoint that the request is sent to; 0 before the first attempt.
  std::uint32_t number = 0;
  base::endpoint_id endpoint;
  base::version_id version;
  std::uint64_t incarnation = 0;
  /// The model chosen by the system. Further attempts keep it, because another model could not
  /// continue the same answer, unless one replaces an answer of low confidence.
  std::optional<base::model_id> model;
  /// How many times as long this model takes for a prompt as the smallest of the route.
  double model_weight = 1.0;
  base::monotonic_time began_at{};
  /// When the attempt or its answer began, or the latest event of its stream was passed on.
  base::monotonic_time progress_at{};
  /// The longest pause between two events of its stream.
  base::duration longest_pause{};
  /// The pace of its stream.
  stream_pace pace;
  /// Weighted prompt tokens that the endpoint has yet to process.
  std::uint64_t pending_work = 0;
  bool has_answer = false;
  /// Whether it delivered an event.
  bool has_event = false;
  /// Whether it may still have waited for its turn at the endpoint when it ended.
  bool was_queued = false;

  /// Records that events of its stream arrived.
  void note_events(base::monotonic_time now);
};

/// An attempt that goes on while another one is asked to take its place.
struct held_attempt {
  attempt_state state;
  /// Why it is to be replaced, and how it has failed once it is: `stalled` or `low_confidence`.
  attempt_failure reason = attempt_failure::stalled;
  /// Since when the other one is asked.
  base::monotonic_time since{};
};

} // namespace catkinlanding::proxy
