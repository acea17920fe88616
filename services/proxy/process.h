#pragma once

#include <libraries/proxy/message.h>
#include <libraries/proxy/settings.h>
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

/// What entry and control instances have in common: the loop, signals, settings that change while
/// they run, messages to other instances, metrics.
class process {
public:
  using peer_transport = daemon::message_transport<envelope, encode, decode>;

  struct handlers {
    std::function<void(base::instance_id const& from, message message)> on_message;
    std::function<void()> on_tick;
    /// The platform asked for a stop, for the first time.
    std::function<void()> on_stop;
    std::function<void(process_settings const&)> on_settings;
    /// Sets the gauges before the metrics are read.
    std::function<void(proxy::metrics&)> on_metrics;
  };

  struct options {
    process_settings settings;
    /// Read again when the platform says that it changed.
    std::string settings_path;
    std::chrono::milliseconds tick_interval{100};
  };

  explicit process(options options);

  /// Opens the ports that instances of both roles have.
  [[nodiscard]] tl::expected<void, daemon::listener_error> open(handlers handlers);
  /// Runs until `stop`.
  void run();
  void stop();

  void send(base::instance_id const& to, message message);
  /// Calls back once after the time.
  void call_after(std::chrono::milliseconds delay, std::function<void()> callback);

  [[nodiscard]] boost::asio::io_context& io() { return m_io; }
  [[nodiscard]] proxy::metrics& metrics() { return m_metrics; }
  [[nodiscard]] process_settings const& settings() const { return m_options.settings; }

private:
  void wait_for_signal();
  void check_settings_file();
  void schedule_tick();
  /// Reads the settings again if their file has changed. A signal asks for it at once; it is also
  /// done from time to time, as not every platform sends one.
  void reload_settings();

  options m_options;
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
