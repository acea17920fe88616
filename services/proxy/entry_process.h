#pragma once

#include <libraries/proxy/router.h>
#include <services/proxy/entry_server.h>
#include <services/proxy/process.h>

#include <memory>

namespace catkinlanding::proxy {

/// An instance that takes callers' requests.
class entry_process {
public:
  entry_process(process::options options, proxy::dialect const& dialect);

  [[nodiscard]] tl::expected<void, daemon::listener_error> open();
  void run() { m_process.run(); }

private:
  [[nodiscard]] static router::options router_options(process_settings const& settings);

  void on_tick();
  void send(std::vector<outgoing> messages);
  void on_message(base::instance_id const& from, message const& message);
  void on_stop();
  void finish_when_idle();

  process m_process;
  proxy::dialect const& m_dialect;
  proxy::router m_router;
  upstream_pool m_pool;
  entry_context m_context;
  std::unique_ptr<entry_server> m_server;
  std::unique_ptr<call_server> m_readiness;
  base::monotonic_time m_swept_at{};
  base::monotonic_time m_stop_at{};
  bool m_was_connected = false;
};

} // namespace catkinlanding::proxy
