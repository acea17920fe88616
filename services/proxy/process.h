#pragma once

#include <libraries/proxy/message.h>
#include <libraries/proxy/settings.h>
#include <libraries/resources/plan.h>
#include <services/daemon/listener.h>
#include <services/daemon/message_transport.h>
#include <services/proxy/http_server.h>
#include <services/proxy/metrics.h>

#include <boost/asio/signal_set.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace catkinlanding::proxy {

/// The parts that entry and control instances share: the event loop, signals, settings reloads,
/// messages between instances, and metrics.
class process {
public:
  using peer_transport = daemon::message_transport<envelope, encode, decode>;

  struct handlers {
    std::function<void(base::instance_id const& from, message message)> on_message;
    std::function<void()> on_tick;
    /// Called with the first SIGTERM or SIGINT only.
    std::function<void(int signal)> on_stop;
    std::function<void(process_settings const&)> on_settings;
    /// Called before the metrics are serialized, to update the gauges.
    std::function<void(proxy::metrics&)> on_metrics;
  };

  struct options {
    process_settings settings;
    /// Read again on SIGHUP and when the file's modification time changes.
    std::string settings_path;
    std::chrono::milliseconds tick_interval{100};
  };

  /// What the ports that both roles use may take up.
  struct bounds {
    resources::peer_plan peers;
    resources::call_plan metrics;
  };

  explicit process(options options);

  /// Opens the ports that both roles use: messages between instances, and metrics.
  [[nodiscard]] tl::expected<void, daemon::listener_error> open(bounds const& bounds,
                                                                handlers handlers);
  /// Runs the event loop until `stop` is called.
  void run();
  void stop();

  /// `needs_new_connection` says that a connection which is open may lose what it takes.
  void send(base::instance_id const& to, message message, bool needs_new_connection);
  /// Calls back once after the delay.
  void call_after(std::chrono::milliseconds delay, std::function<void()> callback);

  [[nodiscard]] boost::asio::io_context& io() { return m_io; }
  [[nodiscard]] proxy::metrics& metrics() { return m_metrics; }
  [[nodiscard]] process_settings const& settings() const { return m_options.settings; }
  [[nodiscard]] resources::machine const& machine() const { return m_machine; }

private:
  void wait_for_signal();
  void check_settings_file();
  void schedule_tick();
  /// Applies the settings file if its content has changed. Called on SIGHUP, and after a periodic
  /// check of the file because not every platform sends the signal.
  void reload_settings();

  options m_options;
  resources::machine m_machine;
  handlers m_handlers;
  boost::asio::io_context m_io{1};
  boost::asio::signal_set m_signals{m_io};
  daemon::steady_timer m_tick_timer{m_io};
  proxy::metrics m_metrics;
  std::unique_ptr<peer_transport> m_peers;
  std::unique_ptr<http_server> m_metrics_server;
  std::set<base::instance_id> m_known_peers;
  std::string m_settings_text;
  std::filesystem::file_time_type m_settings_written_at{};
  std::chrono::steady_clock::time_point m_settings_checked_at{};
  bool m_is_stopping = false;
};

} // namespace catkinlanding::proxy
