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

/// What the table decides from; the parts belong to the instance.
struct environment {
  catalogue::document const& document;
  bool has_lease = false;
  /// Time since the lease ended.
  base::duration without_lease{};
  endpoints::directory& directory;
  routing::policy& chooser;
  /// Where requests wait for room at an endpoint; without it they are refused when there is none.
  limits::admission* admission = nullptr;
  /// Holds customers and classes to their limits; without it there are none.
  limits::rate_limiter* limiter = nullptr;
  /// Whether the log that grants claims can be reached, as far as is known.
  bool can_claim = false;
  /// Whether a rating service should judge answers in time.
  bool has_rating_service = false;
  /// The versions that sessions are bound to; without it sessions are not bound.
  sessions::pin_cache* pins = nullptr;
  /// Whether the log that binds sessions can be reached, as far as is known.
  bool can_pin = false;
  /// Whether there is no room for more bills.
  bool is_billing_full = false;
};

/// Sums since the start of this instance.
struct table_counters {
  /// Events of attempts that were given up on before.
  std::uint64_t late_answers = 0;
  /// Answers that were ended before their bill was known to outlive this instance.
  std::uint64_t unreplicated_bills = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;
  /// Answers that were held back and given unjudged.
  std::uint64_t unevaluated_answers = 0;
};

/// The requests that this instance answers for, from the caller's first byte to the last.
class table {
public:
  struct options {
    base::instance_id self;
    /// Grows with each start of this instance, so that request ids never repeat.
    std::uint64_t incarnation = 0;
    int max_attempts = 3;
    /// A claim that is not decided in this time is given up.
    base::duration claim_timeout = std::chrono::seconds(2);
    /// A session whose version is not decided in this time is refused.
    base::duration pin_timeout = std::chrono::seconds(2);
    /// Far below the time after which the log forgets a claim. An instance that was frozen for
    /// longer must not act on what it was granted before.
    base::duration claim_validity = std::chrono::minutes(20);
    /// An answer waits this long at most for its bill and its claim to be safe.
    base::duration finalize_timeout = std::chrono::milliseconds(500);
    /// Longer answers are neither rated nor judged.
    std::size_t max_rated_answer_bytes = 64 * 1024;
    retry_budget::options retries = {};
  };

  explicit table(options options)
      : m_options(std::move(options)), m_retry_budget(m_options.retries) {}

  void reduce(event const& event, environment const& environment, base::monotonic_time now,
              effects& out);
  void tick(environment const& environment, base::monotonic_time now, effects& out);

  /// Refuses new requests from now on; running ones go on.
  void drain() { m_is_draining = true; }

  [[nodiscard]] std::size_t size() const { return m_requests.size(); }
  [[nodiscard]] table_counters const& counters() const { return m_counters; }

private:
  enum class phase : std::uint8_t {
    /// Waits for its claim; nothing was sent.
    claiming,
    /// Waits for the version of its session; no attempt is under way.
    pinning,
    running,
    /// The answer is whole, but its end waits for the bill and the claim.
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
    /// Whether any part of an answer has reached the caller.
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
    /// Whether it waits in the admission queue.
    bool is_waiting = false;
    /// Since when it has waited for room, until that is observed.
    std::optional<base::monotonic_time> waiting_since;
    /// Whether a copy of the answer goes to the rating service.
    bool wants_rating = false;
    /// What was streamed, for the rating service.
    std::string streamed;
    /// The version whose answer was judged, whether or not it was replaced.
    base::version_id evaluated_version;
    /// Who is asked next where the answer is judged poor.
    base::version_id escalates_to;
    /// A whole answer that is held back until it is judged, or until a better one is there.
    std::optional<held_answer> held;
    std::vector<billing::bill_line> lines;
    /// What was taken from the limits.
    std::optional<limits::charge> charged;
    table::phase phase = table::phase::running;
    /// Set where the request has to be claimed before it is sent.
    std::optional<claims::holder> holder;
    base::monotonic_time claimed_at{};
    bool is_claim_granted = false;
    /// Set where the request belongs to a session that is bound to a version.
    std::optional<sessions::session_key> session;
    base::monotonic_time pin_asked_at{};
    /// Whether the chosen version is not yet the one that the log bound the session to.
    bool needs_pin = false;
    /// Whether the log has answered since the last attempt.
    bool is_pin_decided = false;
    base::version_id session_moved_from;
    /// Whether an endpoint may have run an attempt that was given up on.
    bool may_have_run = false;
    bool awaits_bill_replication = false;
    bool awaits_claim_finish = false;
    base::monotonic_time finalize_deadline{};
    /// What the caller gets once the request is settled.
    effects final_effects;
    /// The end of what was streamed, to find the end mark over pieces.
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
  /// Adds the question about the answer to what follows its last part.
  void add_rating_request(request& request) const;
  /// Keeps the answer back and asks for a judgement, or gives it to the caller.
  void hold_for_evaluation(request& request, effects& out);
  void deliver(request& request, base::monotonic_time now, effects& out);
  /// Ends the request with the answer that is held back, if there is one.
  [[nodiscard]] bool deliver_held(request& request, base::monotonic_time now, effects& out);
  /// Takes the request's part from the limits, or says when to come back.
  [[nodiscard]] static std::optional<base::duration>
  charge_limits(request& request, environment const& environment, base::monotonic_time now);
  /// Notes how many tokens a charged request used in the end.
  void record_tokens(request& request, std::uint64_t tokens);
  void apply_charge_corrections(environment const& environment, base::monotonic_time now);
  /// Starts waiting requests as long as there is room for them.
  void start_queued(environment const& environment, base::monotonic_time now, effects& out);
  static void leave_queue(request& request, environment const& environment);
  /// Puts out how long the request waited for room. Ends the wait.
  static void report_queueing_time(request& request, base::monotonic_time now, effects& out);
  /// The same where the request gets no attempt; puts out nothing if it did not wait.
  static void end_wait(request& request, base::monotonic_time now, effects& out);
  [[nodiscard]] static limits::admission::work admission_work(request const& request);

  [[nodiscard]] std::optional<failure> admit(request& request, environment const& environment);
  void start_attempt(request& request, environment const& environment, base::monotonic_time now,
                     effects& out);
  [[nodiscard]] tl::expected<base::endpoint_id, routing::choice_error>
  choose_endpoint(request& request, environment const& environment, base::monotonic_time now);
  /// The session's version, unless it is not known, or the catalogue no longer lets it be used, or
  /// has not let it since the log confirmed it.
  [[nodiscard]] static std::optional<sessions::pin>
  usable_pin(request const& request, environment const& environment, base::monotonic_time now);
  /// Whether the request has to wait for the log, and the log can't be reached.
  [[nodiscard]] static bool is_pin_unavailable(request const& request,
                                               environment const& environment,
                                               base::monotonic_time now);
  /// Asks the log to bind the request's session to the version that was chosen.
  void start_pinning(request& request, environment const& environment, base::monotonic_time now,
                     effects& out);
  /// Keeps the log from forgetting a session that is in use.
  static void refresh_pin(request const& request, environment const& environment,
                          base::monotonic_time now, effects& out);
  void end_attempt(request& request, environment const& environment);
  /// Tells the chooser how the running attempt went.
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
  /// Whether this instance holds the right to run the request, and the log remembers it.
  [[nodiscard]] bool is_claim_valid(request const& request, base::monotonic_time now) const;
  /// Tells the log what became of a claimed request that gets no answer.
  static void end_claim(request const& request, run_state state, effects& out);
  void finalize(request& request, base::monotonic_time now, effects& out);
  void end_if_finalized(request& request, base::monotonic_time now, effects& out);
  /// Ends what waited for too long.
  void tick(request& request, environment const& environment, base::monotonic_time now,
            effects& out);
  void erase(request const& request);
  [[nodiscard]] bool may_retry(request const& request, attempt_failure_kind kind,
                               base::monotonic_time now);
  [[nodiscard]] request* find_by_attempt(attempt_number attempt);

  options m_options;
  std::map<request_number, request> m_requests;
  std::unordered_map<attempt_number, request_number> m_attempts;
  attempt_number m_last_attempt = 0;
  std::uint64_t m_last_request = 0;
  bool m_is_draining = false;
  std::multimap<base::request_id, request_number> m_finalizing;
  /// Requests that wait for the version of their session.
  std::multimap<sessions::session_key, request_number> m_pinning;
  retry_budget m_retry_budget;
  /// What the limiter is told at the end of the event.
  std::vector<limits::charge_correction> m_corrections;
  table_counters m_counters;
};

} // namespace catkinlanding::requests
