#include <libraries/base/try.h>
#include <services/daemon/connections/process_limits.h>
#include <services/proxy/clock.h>
#include <services/proxy/log.h>
#include <services/proxy/process.h>

#include <spdlog/spdlog.h>

#include <csignal>
#include <fstream>
#include <sstream>

namespace catkinlanding::proxy {

namespace {

/// Requests for metrics have no bodies of use.
constexpr std::uint32_t max_metrics_request_bytes = 64 * 1024;

constexpr std::chrono::seconds settings_check_interval{2};

std::string read_file(std::string const& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

} // namespace

process::process(options options)
    : m_options(std::move(options)),
      m_machine(daemon::connections::read_machine(m_options.settings.memory_bytes,
                                                  m_options.settings.max_descriptors)),
      m_settings_text(read_file(m_options.settings_path)) {
  std::error_code error;
  // If this fails, the first periodic check reads the file again.
  m_settings_written_at = std::filesystem::last_write_time(m_options.settings_path, error);
}

tl::expected<void, daemon::listener_error> process::open(bounds const& bounds, handlers handlers) {
  m_handlers = std::move(handlers);
  auto const& settings = m_options.settings;
  auto datagrams = CATKINLANDING_TRY(daemon::open_datagram_socket(m_io, settings.peers));
  auto acceptor = CATKINLANDING_TRY(daemon::open_acceptor(m_io, settings.peers));
  m_peers = std::make_unique<peer_transport>(
      m_io, peer_transport::identity{.self = settings.id(), .incarnation = random_number()},
      peer_transport::sockets{std::move(datagrams), std::move(acceptor)},
      std::map<base::instance_id, base::address>{}, m_handlers.on_message, bounds.peers);
  if (settings.metrics_port != 0) {
    base::address const address{.ip = settings.peers.ip, .port = settings.metrics_port};
    auto metrics_acceptor = CATKINLANDING_TRY(daemon::open_acceptor(m_io, address));
    m_metrics_server = std::make_unique<http_server>(
        m_io, std::move(metrics_acceptor),
        http_server::options{.bounds = bounds.metrics, .max_body_bytes = max_metrics_request_bytes},
        [this](http_request /*request*/) -> daemon::awaitable<served_answer> {
          m_handlers.on_metrics(m_metrics);
          auto const& inbound = m_peers->inbound();
          m_metrics.set_gauge("peer_connections", static_cast<double>(inbound.size()));
          m_metrics.set_gauge("peer_connections_closed", static_cast<double>(inbound.closed()));
          served_answer answer{.message = http_response(http::status::ok, 11), .shared_body = {}};
          answer.message.set(http::field::content_type, "text/plain; version=0.0.4");
          answer.message.body() = m_metrics.serialize();
          co_return answer;
        });
  }
  return {};
}

void process::run() {
  m_signals.add(SIGTERM);
  m_signals.add(SIGINT);
  m_signals.add(SIGHUP);
  wait_for_signal();
  m_handlers.on_tick();
  schedule_tick();
  while (!m_io.stopped()) {
    try {
      m_io.run();
    } catch (std::exception const& exception) {
      // Only what the exception left undone is lost.
      spdlog::error("process step_failed error=\"{}\"", exception.what());
    }
  }
}

void process::stop() {
  m_io.stop();
}

void process::send(base::instance_id const& to, message message, bool needs_new_connection) {
  bool const is_known = m_known_peers.contains(to);
  if (!is_known && m_known_peers.size() >= daemon::frame_transport::max_peers) {
    // Anybody can invent instances.
    return;
  }
  if (!is_known) {
    m_known_peers.insert(to);
    auto const address = parse_address(to.value);
    if (!address) {
      spdlog::warn("peers unknown_instance instance={}", to.value);
      return;
    }
    m_peers->set_peer_address(to, *address);
  }
  m_peers->send(to, std::move(message), needs_new_connection);
}

void process::call_after(std::chrono::milliseconds delay, std::function<void()> callback) {
  auto timer = std::make_shared<daemon::steady_timer>(m_io, delay);
  timer->async_wait([timer, callback = std::move(callback)](boost::system::error_code error) {
    if (!error) {
      callback();
    }
  });
}

void process::wait_for_signal() {
  m_signals.async_wait([this](boost::system::error_code error, int signal) {
    if (error) {
      return;
    }
    if (signal == SIGHUP) {
      reload_settings();
    } else if (!m_is_stopping) {
      // Further stop signals are ignored, so that they do not end the process while it still has
      // requests in flight.
      m_is_stopping = true;
      m_handlers.on_stop(signal);
    }
    wait_for_signal();
  });
}

void process::schedule_tick() {
  m_tick_timer.expires_after(m_options.tick_interval);
  m_tick_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      schedule_tick();
      m_handlers.on_tick();
      check_settings_file();
    }
  });
}

void process::check_settings_file() {
  auto const time = std::chrono::steady_clock::now();
  if (time < m_settings_checked_at + settings_check_interval) {
    return;
  }
  m_settings_checked_at = time;
  std::error_code error;
  auto const written_at = std::filesystem::last_write_time(m_options.settings_path, error);
  // The file may be missing briefly while it is being replaced; the next check will find it.
  if (error || written_at == m_settings_written_at) {
    return;
  }
  m_settings_written_at = written_at;
  reload_settings();
}

void process::reload_settings() {
  auto text = read_file(m_options.settings_path);
  if (text == m_settings_text) {
    return;
  }
  auto settings = parse_settings(text);
  if (!settings) {
    for (auto const& error : settings.error()) {
      spdlog::error("process reload_failed fault=\"{}\"",
                    json::describe(m_options.settings_path, error));
    }
    return;
  }
  m_settings_text = std::move(text);
  spdlog::info(
      "process reloaded seeds={} log_level={} stop_patience_ms={}", settings->seeds.size(),
      settings->log_level,
      std::chrono::duration_cast<std::chrono::milliseconds>(settings->shutdown_timeout).count());
  set_log_level(settings->log_level);
  m_options.settings.seeds = settings->seeds;
  m_options.settings.shutdown_timeout = settings->shutdown_timeout;
  m_handlers.on_settings(*settings);
}

} // namespace catkinlanding::proxy
