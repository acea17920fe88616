#pragma once

#include <libraries/requests/active_request.h>
#include <libraries/requests/environment.h>
#include <libraries/requests/intake.h>
#include <libraries/requests/retry_budget.h>
#include <libraries/requests/running_request.h>

#include <map>
#include <unordered_map>

namespace catkinlanding::requests {

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
    /// Without those that their endpoints rejected unrun.
    int max_attempts = 3;
    /// A request whose claim is not decided within this time fails, and one whose session is not
    /// pinned. An election of the log's leader is over by then; if the log is away for longer,
    /// another instance may reach it.
    base::duration claim_timeout = std::chrono::seconds(2);
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
      : m_options(std::move(options)), m_intake(m_options.self, m_options.incarnation),
        m_retry_budget(m_options.retries) {}

  void reduce(event const& event, environment const& environment, base::monotonic_time now,
              effects& out);
  void tick(environment const& environment, base::monotonic_time now, effects& out);

  /// Rejects new requests from now on; running ones continue.
  void drain() { m_intake.drain(); }

  [[nodiscard]] std::size_t size() const { return m_requests.size(); }
  /// The requests that have not ended, in the order of their arrival, up to this number.
  [[nodiscard]] std::vector<running_request> running(std::size_t max_count,
                                                     base::monotonic_time now) const;
  [[nodiscard]] table_counters const& counters() const { return m_counters; }

private:
  using request = active_request;
  using phase = request_phase;

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

  /// Adds the rating request to the final effects, if the answer is sampled.
  void add_rating_request(request& request) const;
  /// Holds the answer back and asks the rating service to evaluate it.
  void hold_for_evaluation(request& request, effects& out);
  void deliver(request& request, base::monotonic_time now, effects& out);
  /// When the request ends with what it has: at its deadline, or in time for a held answer.
  [[nodiscard]] base::monotonic_time ends_at(request const& request) const;
  /// Delivers the answer that is held back, or returns false if there is none.
  [[nodiscard]] bool deliver_held(request& request, base::monotonic_time now, effects& out);
  /// Charges the request to the rate limits, or returns when to retry if they are reached.
  [[nodiscard]] static std::optional<base::duration>
  charge_limits(request& request, environment const& environment, base::monotonic_time now);
  /// Records how many tokens a charged request used, to correct the estimate that was charged.
  void record_tokens(request& request, std::uint64_t tokens);
  /// Applies to admission and rate limits what the event has ended.
  void close_event(environment const& environment, base::monotonic_time now);
  /// Starts an attempt, the first one or another, when it is the request's turn.
  void start_in_turn(request& request, environment const& environment, base::monotonic_time now,
                     effects& out);
  /// Starts queued requests as long as there is capacity for them.
  void start_queued(environment const& environment, base::monotonic_time now, effects& out);
  /// Ends the wait with the answer that is held back, or else with a refusal.
  void give_up_waiting(request& request, environment const& environment, base::monotonic_time now,
                       effects& out);

  void start_attempt(request& request, environment const& environment, base::monotonic_time now,
                     effects& out);
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
  void fail(request& request, failure const& failure, base::monotonic_time now, effects& out);
  void start_claim(request& request, environment const& environment, base::monotonic_time now,
                   effects& out);
  void run_claimed(request& request, environment const& environment, base::monotonic_time now,
                   effects& out);
  void answer_duplicate(request& request, claims::verdict const& verdict, base::monotonic_time now,
                        effects& out);
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
  intake m_intake;
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
