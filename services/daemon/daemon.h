#pragma once

#include <libraries/instance/reducer.h>
#include <libraries/settings/settings.h>
#include <services/daemon/caller_server.h>
#include <services/daemon/data_folder.h>
#include <services/daemon/endpoint_client.h>
#include <services/daemon/listener.h>
#include <services/daemon/message_transport.h>
#include <services/daemon/metrics.h>
#include <services/daemon/operator_server.h>
#include <services/daemon/rating_client.h>
#include <services/daemon/request_log.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace catkinlanding::daemon {

/// Runs the reducer in a process: turns input into events for the reducer, and performs the effects
/// that it returns. All decisions are made in the reducer.
class daemon {
public:
  /// Why the instance can't start.
  using start_error = std::variant<data_folder_error, listener_error>;

  [[nodiscard]] static tl::expected<std::unique_ptr<daemon>, start_error>
  create(settings::daemon_settings settings);

  /// Blocks until the instance has shut down gracefully. Returns the process's exit code.
  int run();

private:
  using peer_transport = message_transport<instance::envelope, instance::encode, instance::decode>;

  explicit daemon(settings::daemon_settings settings);

  [[nodiscard]] tl::expected<void, data_folder_error> open_data_folder();
  void make_reducer();
  struct listeners {
    boost::asio::ip::udp::socket datagrams;
    boost::asio::ip::tcp::acceptor peers;
    boost::asio::ip::tcp::acceptor callers;
    boost::asio::ip::tcp::acceptor operators;
  };

  [[nodiscard]] tl::expected<listeners, listener_error> open_listeners();
  void start_servers(listeners listeners);
  void schedule_tick();
  /// Ends the event loop once no request is received or answered. New ones are refused by now, and
  /// each connection ends by its own timeouts.
  void stop_when_idle();
  void await_signal();
  /// Passes an event to the reducer and performs its effects. Is noexcept, so that an exception of
  /// the reducer ends the process; `spawn` would take it for the failure of one connection.
  void reduce(instance::event const& event) noexcept;

  void perform(instance::send& effect);
  void perform(instance::write_log& effect);
  void perform(instance::write_ledger& effect);
  void perform(operators::answer& effect);
  void perform(requests::effect& effect);
  void perform(instance::update_address& effect);
  void perform(instance::state_change& effect);
  void perform(instance::stop_report& effect);
  void perform(instance::stop& effect);
  void perform(routing::rating_request& effect);

  settings::daemon_settings m_settings;
  boost::asio::io_context m_context{1};
  boost::asio::steady_timer m_tick{m_context};
  boost::asio::signal_set m_signals{m_context};
  metrics m_metrics;
  request_log m_request_log;
  std::unique_ptr<data_folder> m_data_folder;
  std::unique_ptr<instance::reducer> m_reducer;
  std::unique_ptr<peer_transport> m_peers;
  std::unique_ptr<endpoint_client> m_endpoints;
  std::unique_ptr<rating_client> m_ratings;
  std::unique_ptr<caller_server> m_callers;
  std::unique_ptr<operator_server> m_operators;
  bool m_is_stopped = false;
};

} // namespace catkinlanding::daemon
