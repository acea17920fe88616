#pragma once

#include <libraries/proxy/event_stream.h>
#include <libraries/proxy/router.h>
#include <libraries/proxy/stream_pace.h>
#include <services/daemon/coroutine.h>
#include <services/proxy/metrics.h>
#include <services/proxy/protocol_adapter.h>
#include <services/proxy/upstream_pool.h>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace catkinlanding::proxy {

/// What the exchanges of one entry instance share.
struct entry_context {
  boost::asio::io_context& io;
  proxy::router& router;
  upstream_pool& pool;
  proxy::protocol_adapter const& protocol_adapter;
  proxy::metrics& metrics;
  /// Timers of requests that wait for what this instance lacks: cancelled when it learns something.
  std::set<daemon::steady_timer*> state_wait_timers;
  request_number last_request_number = 0;
  /// Set while the instance stops: answers end their connections.
  bool is_stopping = false;
};

/// One request of a caller, from its head to the end of its answer. It carries out what the router
/// decides: sends the request to endpoints, passes the answer on, and stops work at the endpoint
/// when the caller leaves or the time is over.
class exchange : public std::enable_shared_from_this<exchange> {
public:
  exchange(entry_context& context, daemon::tcp_stream& caller, http_request request);

  /// Returns whether the caller's connection can take another request.
  daemon::awaitable<bool> run();

private:
  using answer_parser = http::response_parser<http::buffer_body>;

  /// A failure that an endpoint answered with, kept until no other attempt is made.
  struct stored_failure {
    http_response_header header;
    std::string body;
  };

  enum class forward_result { complete, broken, caller_write_failed };

  daemon::awaitable<void> wait_for_state(request_facts& facts);
  daemon::awaitable<bool> refuse(refusal refusal);
  daemon::awaitable<bool> deliver_stored_failure();
  /// Nothing where the answer was delivered whole, or its caller is gone.
  daemon::awaitable<std::optional<attempt_failure>> run_attempt(attempt attempt);
  daemon::awaitable<bool> connect(attempt const& attempt);
  /// Sends the request. Returns how it failed.
  daemon::awaitable<std::optional<attempt_failure>> send_request(attempt const& attempt);
  /// Reads heads until one answers this request. Returns how it failed.
  daemon::awaitable<std::optional<attempt_failure>> read_header(attempt const& attempt);
  daemon::awaitable<std::optional<attempt_failure>> forward_answer(attempt const& attempt);
  daemon::awaitable<forward_result> forward_body();
  daemon::awaitable<forward_result> forward_events();
  /// Reads the rest of the body, up to a bound. Returns nothing where it is torn or too large.
  daemon::awaitable<std::optional<std::string>> read_body(std::size_t max_bytes);
  /// Reads some of the body. Returns nothing where the answer is torn.
  daemon::awaitable<std::optional<std::string_view>> read_some();
  daemon::awaitable<bool> write_to_caller(std::string bytes);
  daemon::awaitable<bool> write_chunk_to_caller(std::string_view bytes);

  [[nodiscard]] attempt_failure classify_failure(attempt_failure failure) const;
  void return_upstream_to_pool();
  void watch_for_caller_disconnect();
  void start_deadline_timer(base::monotonic_time deadline);
  /// Breaks the attempt off when its endpoint is lost.
  void start_stall_timer();
  void close_upstream();
  void finish(request_end end, std::string_view reason);
  void log_attempt(attempt const& attempt) const;
  void log_failure(attempt_failure failure) const;

  entry_context& m_context;
  daemon::tcp_stream& m_caller;
  http_request m_request;
  request_number m_number;
  base::request_id m_id;
  std::string m_session;
  std::string m_route;
  std::string m_customer;
  base::monotonic_time m_started_at;
  daemon::steady_timer m_deadline_timer;
  daemon::steady_timer m_stall_timer;
  std::unique_ptr<upstream_connection> m_upstream;
  std::unique_ptr<answer_parser> m_parser;
  std::array<char, 16 * 1024> m_read_buffer{};
  std::optional<stored_failure> m_stored_failure;
  event_stream m_events;
  stream_pace m_pace;
  std::uint32_t m_attempts = 0;
  bool m_keep_alive = true;
  bool m_is_header_sent = false;
  bool m_is_expired = false;
  bool m_is_stalled = false;
  bool m_is_caller_gone = false;
  bool m_is_done = false;
};

} // namespace catkinlanding::proxy
