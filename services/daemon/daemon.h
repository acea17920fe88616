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

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

/// The process around the reducer: it turns input into events and effects into output, and
/// decides nothing.
namespace catkinlanding::daemon {

class daemon {
public:
  /// Why the instance can't start.
  using start_error = std::variant<data_folder_error, listener_error>;

  [[nodiscard]] static tl::expected<std::unique_ptr<daemon>, start_error>
  create(settings::daemon_settings settings);

  /// Runs until the instance has stopped gracefully. Returns the exit code of the process.
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
  /// Ends the process once no caller waits, at the due time at the latest.
  void stop_when_idle(base::monotonic_time deadline);
  void await_signal();
  /// What the reducer throws must not be taken for a fault of one connection.
  void reduce(instance::event const& event) noexcept;

  void perform(instance::send& effect);
  void perform(instance::write_log& effect);
  void perform(instance::write_ledger& effect);
  void perform(operators::answer& effect);
  void perform(requests::effect& effect);
  void perform(instance::update_address& effect);
  void perform(instance::state_change& effect);
  void perform(instance::stop& effect);
  void perform(routing::rating_request& effect);

  settings::daemon_settings m_settings;
  boost::asio::io_context m_context{1};
  boost::asio::steady_timer m_tick{m_context};
  boost::asio::signal_set m_signals{m_context};
  metrics m_metrics;
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
