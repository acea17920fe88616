#pragma once

#include <libraries/proxy/control.h>
#include <services/daemon/data_folder.h>
#include <services/proxy/process.h>
#include <services/proxy/protocol_adapter.h>

#include <map>
#include <memory>
#include <variant>

namespace catkinlanding::proxy {

/// An instance with the control role: a voter in the replicated log that serves calls from
/// operators and endpoints.
class control_process {
public:
  using open_error = std::variant<daemon::data_folder_error, daemon::listener_error>;

  control_process(process::options options, proxy::protocol_adapter const& protocol_adapter);

  [[nodiscard]] tl::expected<void, open_error> open();
  void run() { m_process.run(); }

private:
  /// A call whose reply has not arrived yet.
  struct pending_call {
    explicit pending_call(boost::asio::io_context& io) : wakeup(io) {}

    daemon::steady_timer wakeup;
    std::optional<call_reply> reply;
  };

  [[nodiscard]] tl::expected<void, daemon::data_folder_error> open_data_folder();
  [[nodiscard]] tl::expected<void, daemon::listener_error> open_listeners();
  daemon::awaitable<served_answer> handle_call(http_request request);
  daemon::awaitable<call_reply> wait_for_reply(call_request const& call);
  void on_stop(int signal);
  void stop_after_handover();
  void apply_effects(control_effects effects);
  void log(control_event_details const& note) const;
  void log_call(call_request const& call, call_reply const& reply);
  /// The address at which the leader named in the reply accepts calls; empty if it is unknown.
  [[nodiscard]] std::string leader_address(call_reply const& reply) const;

  process m_process;
  proxy::protocol_adapter const& m_protocol_adapter;
  std::unique_ptr<daemon::data_folder> m_data_folder;
  std::unique_ptr<control> m_control;
  std::unique_ptr<http_server> m_call_server;
  std::map<call_number, std::shared_ptr<pending_call>> m_pending_calls;
  call_number m_last_call = 0;
  base::monotonic_time m_stop_deadline{};
};

} // namespace catkinlanding::proxy
