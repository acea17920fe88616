#pragma once

#include <libraries/limits/admission.h>
#include <libraries/limits/rate_limiter.h>
#include <libraries/requests/effect.h>
#include <libraries/requests/retry_budget.h>
#include <libraries/routing/policy.h>
#include <libraries/sessions/pin_cache.h>

#include <map>
#include <set>
#include <unordered_map>

namespace catkinlanding::requests {

/// The state of the instance that the table's decisions depend on.
struct environment {
  catalogue::document const& document;
  /// Whether this instance holds a lease, under which its catalogue is known to be current.
  bool has_lease = false;
  /// Time since the lease expired.
  base::duration without_lease{};
  endpoints::directory& directory;
  routing::policy& chooser;
  /// Queues requests until an endpoint has capacity; if null, they are rejected instead.
  limits::admission* admission = nullptr;
  /// Enforces the rate limits of customers and classes; if null, there are none.
  limits::rate_limiter* limiter = nullptr;
  /// Whether the log that grants claims is believed to be reachable.
  bool can_claim = false;
  /// Whether a rating service is expected to evaluate answers in time.
  bool has_rating_service = false;
  /// The versions that sessions are pinned to; if null, sessions are not pinned.
  sessions::pin_cache* pins = nullptr;
  /// Whether the log that pins sessions is believed to be reachable.
  bool can_pin = false;
  /// Whether the outbox has no room for more bills.
  bool is_billing_full = false;
};

/// Counters since the start of this instance.
struct table_counters {
  /// Events of attempts that were cancelled or replaced before.
  std::uint64_t late_answers = 0;
  /// Answers that were completed before their bill was known to survive the loss of this instance.
  std::uint64_t unreplicated_bills = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;
  /// Answers that were held back and then delivered without an evaluation.
  std::uint64_t unevaluated_answers = 0;
};

/// The state machine of all requests that this instance currently serves, from admission to the
/// last byte of the response. It does no I/O: events go in, and effects come out.
class table {
public:
  struct options {
    base::instance_id self;
    /// Increases with each start of this instance, so that request ids never repeat.
    std::uint64_t incarnation = 0;
    int max_attempts = 3;
    /// A request whose claim is not decided within this time fails.
    base::duration claim_timeout = std::chrono::seconds(2);
    /// A request whose session is not pinned within this time fails.
    base::duration pin_timeout = std::chrono::seconds(2);
    /// Far below the time after which the log expires a claim, so that an instance that was
    /// suspended for longer does not act on an expired grant.
    base::duration claim_validity = std::chrono::minutes(20);
    /// How long the end of an answer is delayed at most until its bill and its claim's finish are
    /// replicated.
    base::duration finalize_timeout = std::chrono::milliseconds(500);
    /// Longer answers are neither evaluated nor rated.
    std::size_t max_rated_answer_bytes = 64 * 1024;
    retry_budget::options retries = {};
  };

  explicit table(options options)
      : m_options(std::move(options)), m_retry_budget(m_options.retries) {}

  void reduce(event const& event, environment const& environment, base::monotonic_time now,
              effects& out);
  void tick(environment const& environment, base::monotonic_time now, effects& out);

  /// Rejects new requests from now on; running ones continue.
  void drain() { m_is_draining = true; }

  [[nodiscard]] std::size_t size() const { return m_requests.size(); }
  [[nodiscard]] table_counters const& counters() const { return m_counters; }

private:
  enum class phase : std::uint8_t {
    /// Waits for its claim; nothing has been sent.
    claiming,
    /// Waits until its session is pinned to a version; no attempt is in flight.
    pinning,
    running,
    /// The answer is complete, but its end is held until the bill and the claim's finish are
    /// replicated.
    finalizing,
  };

  struct held_answer {
    std::string body;
    std::string content_type;
    std::uint32_t status = 200;
    base::version_id version;
  };

  struct request {
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
    attempt_number attempt = 0;
    base::endpoint_id endpoint;
    base::model_id model;
    base::version_id version;
    std::set<base::endpoint_id> excluded;
    std::string buffered;
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
    table::phase phase = table::phase::running;
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
    /// Whether an endpoint may have executed a failed attempt.
    bool may_have_run = false;
    bool awaits_bill_replication = false;
    bool awaits_claim_finish = false;
    base::monotonic_time finalize_deadline{};
    /// The effects that are held back until the request is finalized.
    effects final_effects;
    /// The last streamed bytes, to find an end marker that is split across pieces.
    std::string stream_tail;
  };

  void handle(caller_request const& incoming, environment const& environment,
              base::monotonic_time now, effects& out);
  void handle(caller_disconnected const& disconnected, environment const& environment,
              base::monotonic_time now, effects& out);
  void handle(attempt_head const& head, environment const& environment, base::monotonic_time now,
              effects& out);
  void handle(attempt_data const& data, environment const& environment, base::monotonic_time now,
              effects& out);
  void handle(attempt_finished const& finished, environment const& environment,
              base::monotonic_time now, effects& out);
  void handle(attempt_failed const& failed, environment const& environment,
              base::monotonic_time now, effects& out);

  void handle(answer_evaluated const& evaluated, environment const& environment,
              base::monotonic_time now, effects& out);

  void handle(claim_decided const& decided, environment const& environment,
              base::monotonic_time now, effects& out);
  void handle(session_decided const& decided, environment const& environment,
              base::monotonic_time now, effects& out);
  void handle(bill_replicated const& replicated, environment const& environment,
              base::monotonic_time now, effects& out);

  /// A copy of the answer for the rating service.
  [[nodiscard]] static routing::rated_answer answer_to_rate(request const& request,
                                                            std::string answer);
  /// Adds the rating request to the final effects, if the answer is sampled.
  void add_rating_request(request& request) const;
  /// Holds the answer back and asks the rating service to evaluate it.
  void hold_for_evaluation(request& request, effects& out);
  void deliver(request& request, base::monotonic_time now, effects& out);
  /// Delivers the answer that is held back, or returns false if there is none.
  [[nodiscard]] bool deliver_held(request& request, base::monotonic_time now, effects& out);
  /// Charges the request to the rate limits, or returns when to retry if they are reached.
  [[nodiscard]] static std::optional<base::duration>
  charge_limits(request& request, environment const& environment, base::monotonic_time now);
  /// Records how many tokens a charged request used, to correct the estimate that was charged.
  void record_tokens(request& request, std::uint64_t tokens);
  /// Applies to admission and rate limits what the event has ended.
  void close_event(environment const& environment, base::monotonic_time now);
  /// Whether the request's attempts wait in the queue for their turn.
  [[nodiscard]] static bool is_queued(request const& request, environment const& environment);
  /// Whether the wait for an attempt, the first one or another, and its work exceed the time left.
  [[nodiscard]] static std::optional<limits::admission::refusal>
  refuse_to_queue(request const& request, environment const& environment, base::monotonic_time now);
  /// Starts an attempt, the first one or another, when it is the request's turn.
  void start_in_turn(request& request, environment const& environment, base::monotonic_time now,
                     effects& out);
  /// Starts queued requests as long as there is capacity for them.
  void start_queued(environment const& environment, base::monotonic_time now, effects& out);
  /// Teaches admission how long the current attempt took, if its attempts wait in the queue.
  static void observe_duration(request const& request, environment const& environment,
                               base::monotonic_time now);
  static void leave_queue(request& request, environment const& environment);
  /// Whether the request waits for an endpoint, or its answer for a judgement that may lead to
  /// another attempt, and no attempt would end in time any more.
  [[nodiscard]] static bool waits_in_vain(request const& request, environment const& environment,
                                          base::monotonic_time now);
  /// Ends the wait with the answer that is held back, or else with a refusal.
  void give_up_waiting(request& request, environment const& environment, base::monotonic_time now,
                       effects& out);
  /// Ends the wait for capacity and records its duration, zero if the request did not wait.
  static void report_queueing_time(request& request, base::monotonic_time now, effects& out);
  /// Ends a wait that leads to no attempt; records nothing if the request did not wait.
  static void end_wait(request& request, base::monotonic_time now, effects& out);
  [[nodiscard]] static limits::admission::work admission_work(request const& request);

  [[nodiscard]] std::optional<failure> admit(request& request, environment const& environment);
  void start_attempt(request& request, environment const& environment, base::monotonic_time now,
                     effects& out);
  [[nodiscard]] tl::expected<base::endpoint_id, routing::choice_error>
  choose_endpoint(request& request, environment const& environment, base::monotonic_time now);
  /// The session's pin, unless it is unknown, or the catalogue does not allow its version now or
  /// has disallowed it at any time since the log confirmed it.
  [[nodiscard]] static std::optional<sessions::pin>
  usable_pin(request const& request, environment const& environment, base::monotonic_time now);
  /// Whether the request needs a pin from the log, and the log is unreachable.
  [[nodiscard]] static bool is_pin_unavailable(request const& request,
                                               environment const& environment,
                                               base::monotonic_time now);
  /// Asks the log to pin the request's session to the chosen version.
  void start_pinning(request& request, environment const& environment, base::monotonic_time now,
                     effects& out);
  /// Renews the pin of a session that is in use before the log expires it.
  static void refresh_pin(request const& request, environment const& environment,
                          base::monotonic_time now, effects& out);
  void end_attempt(request& request, environment const& environment);
  /// Reports the outcome of the running attempt to the chooser.
  static void report(request const& request, routing::attempt_verdict verdict,
                     std::uint64_t completion_tokens, environment const& environment,
                     base::monotonic_time now);
  [[nodiscard]] static billing::bill_line
  make_bill_line(request const& request, token_usage const& usage, environment const& environment);
  void fail(request& request, failure const& failure, base::monotonic_time now, effects& out);
  void start_claim(request& request, environment const& environment, base::monotonic_time now,
                   effects& out);
  void run_claimed(request& request, environment const& environment, base::monotonic_time now,
                   effects& out);
  void answer_duplicate(request& request, claims::verdict const& verdict, base::monotonic_time now,
                        effects& out);
  /// Whether the claim was granted so recently that the log can't have expired it.
  [[nodiscard]] bool is_claim_valid(request const& request, base::monotonic_time now) const;
  /// Finishes or releases the claim of a request that gets no answer.
  static void end_claim(request const& request, run_state state, effects& out);
  void finalize(request& request, base::monotonic_time now, effects& out);
  void end_if_finalized(request& request, base::monotonic_time now, effects& out);
  /// Ends a request that has reached its deadline or another timeout.
  void tick(request& request, environment const& environment, base::monotonic_time now,
            effects& out);
  void erase(request const& request);
  /// Whether another attempt is allowed after a failed one.
  [[nodiscard]] bool may_retry(request const& request, base::monotonic_time now) const;
  /// Takes a retry out of the budget, if an attempt that failed in this way needs one.
  [[nodiscard]] bool try_spend_retry(attempt_failure_kind kind, base::monotonic_time now);
  [[nodiscard]] request* find_by_attempt(attempt_number attempt);

  options m_options;
  std::map<request_number, request> m_requests;
  std::unordered_map<attempt_number, request_number> m_attempts;
  attempt_number m_last_attempt = 0;
  std::uint64_t m_last_request = 0;
  bool m_is_draining = false;
  std::multimap<base::request_id, request_number> m_finalizing;
  /// Requests that wait until their session is pinned.
  std::multimap<sessions::session_key, request_number> m_pinning;
  retry_budget m_retry_budget;
  /// Requests that ended in the current event.
  std::vector<request_number> m_ended;
  /// Corrections that are applied to the rate limiter at the end of the event.
  std::vector<limits::charge_correction> m_corrections;
  table_counters m_counters;
};

} // namespace catkinlanding::requests
