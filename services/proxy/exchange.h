#pragma once

#include <libraries/proxy/router.h>
#include <services/daemon/coroutine.h>
#include <services/proxy/answer_forwarder.h>
#include <services/proxy/metrics.h>
#include <services/proxy/open_request.h>
#include <services/proxy/protocol_adapter.h>
#include <services/proxy/upstream_pool.h>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace catkinlanding::proxy {

/// State shared by all exchanges of an entry instance.
struct entry_context {
  boost::asio::io_context& io;
  proxy::router& router;
  upstream_pool& pool;
  proxy::protocol_adapter const& protocol_adapter;
  proxy::metrics& metrics;
  /// What the answers of all exchanges may take up in buffers.
  base::memory_budget& answer_memory;
  /// Timers of requests that wait for a document or endpoints. They are cancelled on each change of
  /// the router's state, so that the requests check again.
  std::set<daemon::steady_timer*> state_wait_timers;
  request_number last_request_number = 0;
  /// The port on which all entry instances accept callers.
  std::uint16_t caller_port = 0;
  /// Set during shutdown: each connection is then closed after its current answer.
  bool is_stopping = false;
};

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
class exchange : public std::enable_shared_from_this<exchange> {
public:
  exchange(entry_context& context, daemon::tcp_stream& caller, incoming_request request);

  /// Returns whether the caller's connection can be reused for another request.
  daemon::awaitable<bool> run();
  /// How far the request has come.
  [[nodiscard]] open_request progress() const;

private:
  /// The last error response from an endpoint, delivered if the router makes no further attempt.
  struct stored_failure {
    http_response_header header;
    std::string body;
    base::memory_share memory;
  };

  daemon::awaitable<void> wait_for_state(request_facts& facts);
  daemon::awaitable<bool> refuse(refusal refusal);
  daemon::awaitable<bool> deliver_stored_failure();
  /// Returns how the attempt failed; nothing if the answer was delivered completely or the caller
  /// has disconnected.
  daemon::awaitable<std::optional<attempt_failure>> run_attempt(attempt attempt);
  /// Passes the request on to another entry instance, and its answer back. Returns how that failed,
  /// like `run_attempt`.
  daemon::awaitable<std::optional<attempt_failure>> run_relay(relay relay);
  daemon::awaitable<std::optional<attempt_failure>> send_to_peer(relay const& relay);
  daemon::awaitable<std::optional<attempt_failure>> forward_peer_answer(relay const& relay);
  daemon::awaitable<bool> connect(base::endpoint_id const& endpoint, base::address const& address);
  /// Sends the request. Returns how that failed; nothing on success.
  daemon::awaitable<std::optional<attempt_failure>> send_request(attempt const& attempt);
  /// Sends the caller's body with this header.
  daemon::awaitable<std::optional<attempt_failure>> send(http_request_header header);
  [[nodiscard]] static base::duration remaining_until(base::monotonic_time deadline);
  /// The id of the last event that the caller received; empty if its answer has not begun.
  [[nodiscard]] std::optional<std::string> last_delivered_event() const;
  /// Reads response headers until one belongs to this request, skipping late answers to earlier
  /// requests. Returns how that failed; nothing on success.
  daemon::awaitable<std::optional<attempt_failure>> read_header(attempt const& attempt);
  daemon::awaitable<std::optional<attempt_failure>> forward_answer(attempt const& attempt);
  /// Forwards the body of the current answer. Returns how that failed; nothing if it was delivered
  /// completely or the caller has disconnected.
  daemon::awaitable<std::optional<attempt_failure>> forward(bool is_stream);

  /// Keeps the current answer, whose body has been read, for `deliver_stored_failure`.
  void store_failure(std::string body, base::memory_share memory);
  /// The given failure, or the timeout that caused it.
  [[nodiscard]] attempt_failure classify_failure(attempt_failure failure) const;
  /// Keeps the endpoint's connection for the next request if it is reusable.
  void return_upstream_to_pool();
  void watch_for_caller_disconnect();
  void start_deadline_timer(base::monotonic_time deadline);
  /// Aborts the attempt when the router declares it stalled, not before the given time.
  void start_stall_timer(base::monotonic_time earliest = {});
  void close_upstream();
  void finish(request_end end, std::string_view reason);
  /// Passes on what the endpoint states about itself in its answer.
  void take_notices(answer_metadata const& metadata, attempt const& attempt);

  entry_context& m_context;
  daemon::tcp_stream& m_caller;
  http_request m_request;
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
  std::unique_ptr<upstream_connection> m_upstream;
  std::unique_ptr<answer_reader> m_answer;
  std::optional<stored_failure> m_stored_failure;
  std::uint32_t m_attempts = 0;
  /// Whether another entry instance passed the request on.
  bool m_is_relayed = false;
  /// The status of the current attempt's answer; 0 before its header arrived.
  unsigned m_answer_status = 0;
  bool m_keep_alive = true;
  bool m_is_expired = false;
  bool m_is_stalled = false;
  bool m_is_caller_gone = false;
  bool m_is_done = false;
};

} // namespace catkinlanding::proxy
