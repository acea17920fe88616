#pragma once

#include <libraries/catalogue/document.h>
#include <libraries/limits/admission.h>
#include <libraries/limits/rate_limiter.h>
#include <libraries/requests/effect.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinlanding::requests {

/// What a request waits for.
enum class request_phase : std::uint8_t {
  /// Waits for its claim; nothing has been sent.
  claiming,
  /// Waits until its session is pinned to a version; no attempt is in flight.
  pinning,
  running,
  /// The answer is complete, but its end is held until the bill and the claim's finish are
  /// replicated.
  finalizing,
};

/// A complete answer that is held back until it is evaluated or replaced by a better one.
struct held_answer {
  std::string body;
  std::string content_type;
  std::uint32_t status = 200;
  base::version_id version;
};

/// A caller's request from its arrival to its end.
struct active_request {
  caller_request incoming;
  base::request_id id;
  base::customer_id customer;
  base::class_id request_class;
  std::uint32_t priority = 0;
  double quality_target = 0.0;
  base::monotonic_time arrived_at{};
  base::monotonic_time expires_at{};
  std::optional<base::monotonic_time> first_byte;
  bool is_idempotent = true;
  /// Whether any part of an answer was sent to the caller.
  bool is_answer_started = false;
  int attempts = 0;
  /// Attempts that their endpoint said it did not run.
  int rejections = 0;
  attempt_number attempt = 0;
  base::endpoint_id endpoint;
  base::model_id model;
  base::version_id version;
  std::set<base::endpoint_id> excluded;
  std::string buffered;
  /// Whether the whole answer is too large to be rated or stored. It is not kept here then.
  bool is_large_answer = false;
  std::string content_type;
  std::uint32_t status = 200;
  base::monotonic_time sent_at{};
  /// Whether the request is in the admission queue.
  bool is_waiting = false;
  /// When the current wait for capacity began; reset once its duration is recorded.
  std::optional<base::monotonic_time> waiting_since;
  /// Whether the answer is sampled for the rating service.
  bool wants_rating = false;
  /// The streamed answer, collected for the rating service.
  std::string streamed;
  /// The version whose answer was evaluated, whether or not the answer was replaced.
  base::version_id evaluated_version;
  /// The version that the request is sent to next if the answer is rated poor.
  base::version_id escalates_to;
  /// A complete answer that is held back until it is evaluated or replaced by a better one.
  std::optional<held_answer> held;
  std::vector<billing::bill_line> lines;
  /// What was charged to the rate limits.
  std::optional<limits::charge> charged;
  request_phase phase = request_phase::running;
  /// Set if the request must be claimed before it is sent.
  std::optional<claims::holder> holder;
  base::monotonic_time claimed_at{};
  bool is_claim_granted = false;
  /// Set if the request belongs to a session that is pinned to a version.
  std::optional<sessions::session_key> session;
  base::monotonic_time pin_asked_at{};
  /// Whether the log has to pin the session before the request is sent.
  bool needs_pin = false;
  /// Whether the log has answered since the last attempt.
  bool is_pin_decided = false;
  base::version_id session_moved_from;
  /// How the last attempt that failed did so.
  std::optional<attempt_failure_kind> last_failure;
  /// Whether an endpoint may have executed a failed attempt.
  bool may_have_run = false;
  bool awaits_bill_replication = false;
  bool awaits_claim_finish = false;
  base::monotonic_time finalize_deadline{};
  /// The effects that are held back until the request is finalized.
  effects final_effects;
  /// The last streamed bytes, to find an end marker that is split across pieces.
  std::string stream_tail;

  /// The request as admission control sees it.
  [[nodiscard]] limits::admission::work work() const;
  /// Whether an attempt may be started that the log would have granted `claim_validity` before.
  [[nodiscard]] bool is_claim_valid(base::duration claim_validity, base::monotonic_time now) const;
  /// Whether the endpoint rejected the request: its answer tells an error of the request or a
  /// limit.
  [[nodiscard]] bool is_rejected() const;
  /// What the current attempt is charged, with the usage that its endpoint reported.
  [[nodiscard]] billing::bill_line bill_line(token_usage const& usage,
                                             catalogue::document const& document) const;
  /// A copy of the answer for the rating service.
  [[nodiscard]] routing::rated_answer answer_to_rate(std::string answer) const;
  /// The claim under which a request that may run only once is sent.
  [[nodiscard]] claims::claim claim(base::monotonic_time now) const;
  /// Records whether the end marker of a stream has arrived with this piece.
  [[nodiscard]] bool is_stream_end(std::string_view piece);
};

} // namespace catkinlanding::requests
