#pragma once

#include <libraries/proxy/router.h>
#include <services/proxy/entry_server.h>
#include <services/proxy/process.h>

#include <memory>

namespace catkinlanding::proxy {

/// An instance with the entry role: accepts callers' requests and forwards them to endpoints.
class entry_process {
public:
  entry_process(process::options options, proxy::protocol_adapter const& protocol_adapter);

  [[nodiscard]] tl::expected<void, daemon::listener_error> open();
  void run() { m_process.run(); }

private:
  [[nodiscard]] static router::options router_options(process_settings const& settings);

  void on_tick();
  /// Logs when the endpoints can no longer be reached, or can again, and when other instances are
  /// known by way of which they may be.
  void note_reachability();
  /// Opens a connection to see whether endpoints can be reached.
  daemon::awaitable<void> probe(base::address address);
  void send(std::vector<outgoing> messages);
  void on_message(base::instance_id const& from, message const& message);
  /// Logs what an ignored update holds, and what is known instead, at most once in a while.
  void log_outdated(update const& received, base::instance_id const& from);
  static void log_rollouts(update const& received, base::instance_id const& from);
  void on_stop(int signal);
  /// Refuses, again and again, the requests that are not read in time.
  void refuse_half_read();
  void stop_when_idle();
  /// Logs and counts the requests that the end of the process cuts.
  void note_cut_requests();

  process m_process;
  proxy::protocol_adapter const& m_protocol_adapter;
  resources::entry_plan m_plan;
  proxy::router m_router;
  upstream_pool m_pool;
  base::memory_budget m_answer_memory;
  entry_context m_context;
  std::unique_ptr<entry_server> m_entry_server;
  std::unique_ptr<http_server> m_readiness_server;
  base::monotonic_time m_last_sweep{};
  base::monotonic_time m_stop_signal_at{};
  base::monotonic_time m_stop_deadline{};
  std::uint64_t m_outdated_updates = 0;
  base::monotonic_time m_next_outdated_line{};
  bool m_was_connected = false;
  bool m_was_cut_off = false;
  bool m_had_relay_peers = false;
};

} // namespace catkinlanding::proxy
