#pragma once

#include <services/proxy/answer_forwarder.h>
#include <services/proxy/entry_context.h>
#include <services/proxy/open_request.h>
#include <services/proxy/upstream_request.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinlanding::proxy {

/// A caller's request as it was read.
struct incoming_request {
  http_request message;
  /// When its header was complete. The time of its caller runs from then on.
  base::monotonic_time arrived_at{};
  base::monotonic_time last_byte_at{};
};

/// One request of a caller and its answer. Executes the router's decisions: sends the request to
/// endpoints and forwards the answer. Cancels the request at the endpoint when the caller
/// disconnects or the deadline passes.
///
/// While an attempt makes no progress, or its answer is doubtful, another one may be asked to
/// replace it. The first is closed only once the other is accepted; if it gets on before, the other
/// is.
class exchange : public std::enable_shared_from_this<exchange> {
public:
  exchange(entry_context& context, daemon::tcp_stream& caller,
           daemon::connections::open_connections::entry& connection, incoming_request request);

  /// Returns whether the caller's connection can be reused for another request.
  daemon::awaitable<bool> run();
  /// How far the request has come.
  [[nodiscard]] open_request progress() const;

private:
  /// How asking an endpoint ended; without a failure if it accepted the request.
  struct outcome {
    std::optional<attempt_failure> failure;
  };

  daemon::awaitable<void> wait_for_state(request_facts& facts);
  daemon::awaitable<bool> refuse(refusal refusal);
  daemon::awaitable<bool> deliver_failure_answer();

  /// Sends the request by a decision to do so, and delivers the answer. Returns how that failed;
  /// nothing if the answer was delivered completely or the caller has disconnected.
  daemon::awaitable<std::optional<attempt_failure>> transmit(decision const& decision);
  /// Delivers the answer of the current transmission, whose header has arrived, unless another one
  /// replaces it, as `m_is_replaced` then says. Returns like `transmit`.
  daemon::awaitable<std::optional<attempt_failure>> deliver();
  /// Logs and counts the latest decision on the request's model, if there is a new one.
  void log_model_choice();
  /// Forwards the body of the current answer. Returns like `transmit`.
  daemon::awaitable<std::optional<attempt_failure>> forward();
  [[nodiscard]] std::shared_ptr<upstream_request> prepare(replacement target,
                                                          upstream_request::purpose purpose);

  /// Asks for a replacement of the current transmission while that goes on.
  void begin_replacement(replacement target);
  /// `self` keeps the exchange until the coroutine ends.
  daemon::awaitable<void> ask_replacement(std::shared_ptr<exchange> self,
                                          std::shared_ptr<upstream_request> asked);
  /// Waits until the replacement is accepted or has failed.
  daemon::awaitable<void> await_replacement();
  /// Makes the replacement the current transmission, after the one before it has failed or was
  /// closed for it. Returns how it failed; nothing if its answer can be delivered.
  daemon::awaitable<std::optional<attempt_failure>> take_replacement(attempt_failure failure);
  void accept_replacement();
  void drop_replacement(attempt_failure failure);
  /// Closes the replacement, as the current transmission gets on or the request ends.
  void withdraw_replacement();
  /// Called before something of the current answer is delivered: nothing needs to replace it then.
  void note_progress();
  /// Notes why the current attempt is to be replaced, and what it has come to.
  void hold(attempt_failure reason);

  /// The given failure, or the timeout that caused it.
  [[nodiscard]] attempt_failure classify_failure(attempt_failure failure) const {
    // A failure caused by the deadline says nothing about the endpoint.
    return m_is_expired ? attempt_failure::expired : failure;
  }
  void watch_for_caller_disconnect();
  /// Called at the request's deadline. Cancels the connection if the answer is still arriving while
  /// a write to the caller is pending, and frees the endpoint's slot if it has arrived whole: a
  /// caller that does not read must not keep an endpoint busy.
  void end_unread_answer();
  void start_deadline_timer(base::monotonic_time deadline);
  /// Looks for a replacement when the router declares the current attempt stalled, not before the
  /// given time.
  void start_stall_timer(base::monotonic_time earliest = {});
  void on_stall();
  void close_upstream();
  /// Frees the request's body, as it will not be sent again.
  void release_request();
  void finish(request_end end, std::string_view reason);
  void log_failure(upstream_request const& failed, attempt_failure failure,
                   std::optional<attempt_report> const& report);
  /// Passes on what the endpoint states about itself in its answer, or the other instance about
  /// its attempts.
  void take_notices(upstream_request const& answered);
  /// Takes out of the request what another instance says that passed it on.
  void take_relay_headers(request_facts& facts);
  /// Completes the header of an answer, right before its caller receives it: the instance that
  /// passed the request on is left attempts, and a caller is told nothing of them.
  void complete_header(http_response_header& header);
  /// Tells the instance that passed the request on, with a last answer, which attempts were used.
  void add_tally(http_response_header& header) const;

  entry_context& m_context;
  daemon::tcp_stream& m_caller;
  http_request m_request;
  daemon::connections::open_connections::entry& m_connection;
  request_number m_number;
  base::request_id m_id;
  std::string m_session;
  std::string m_route;
  std::string m_customer;
  base::monotonic_time m_started_at;
  base::monotonic_time m_last_byte_at;
  /// How long the caller waits, as it stated.
  std::optional<base::duration> m_caller_timeout;
  answer_forwarder m_forwarder;
  daemon::steady_timer m_deadline_timer;
  daemon::steady_timer m_stall_timer;
  /// Cancelled when the replacement is accepted or has failed.
  daemon::steady_timer m_replacement_timer;
  std::shared_ptr<upstream_request> m_current;
  std::shared_ptr<upstream_request> m_replacement;
  /// What the current attempt had come to when its replacement was begun.
  std::optional<attempt_report> m_held_report;
  attempt_failure m_held_reason = attempt_failure::stalled;
  /// Set once it is known whether a current transmission that began as a replacement is accepted.
  std::optional<outcome> m_outcome;
  /// The last error answer of an endpoint, delivered if the router makes no further attempt.
  std::optional<upstream_request::failure_answer> m_failure_answer;
  std::uint32_t m_attempts = 0;
  std::optional<attempt_failure> m_last_failure;
  /// Whether another entry instance passed the request on.
  bool m_is_relayed = false;
  /// What that instance said of its attempts, if it understands the same in the answer.
  std::optional<relay_tally> m_tally_before;
  bool m_keep_alive = true;
  bool m_is_expired = false;
  /// Set once the replacement is accepted, until it is the current transmission.
  bool m_is_replaced = false;
  bool m_is_caller_gone = false;
  bool m_is_done = false;
};

} // namespace catkinlanding::proxy
