#pragma once

#include <tests/stand_ins/platform_endpoint.h>
#include <tests/support/child_process.h>
#include <tests/support/http_client.h>

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinlanding::testing {

/// Real processes of the users' platform on addresses of this machine: one control instance, two
/// entries and two endpoints of one service. Each instance has an address of its own and the ports
/// that all have.
class proxy_deployment {
public:
  proxy_deployment();
  proxy_deployment(proxy_deployment const&) = delete;
  proxy_deployment& operator=(proxy_deployment const&) = delete;
  ~proxy_deployment();

  /// Starts everything, and puts the first document in force at both entries.
  /// Returns whether all of that came about.
  [[nodiscard]] bool start();
  void start_process(std::string const& name);
  /// Writes the settings of the process again, with another level of its log.
  void change_log_level(std::string const& name, std::string const& level) const;
  [[nodiscard]] child_process& process(std::string const& name) { return m_processes.at(name); }

  /// A caller's request to an entry, with a key, an id and a deadline unless it names its own.
  [[nodiscard]] http_response send_to_entry(std::string const& entry, http_request request) const;
  /// A call to the control instance.
  [[nodiscard]] http_response call(std::string const& method, std::string const& path,
                                   std::string const& body = {}) const;
  [[nodiscard]] http_response announce(platform_endpoint const& endpoint,
                                       std::string const& state = "ready");
  /// The document with this number.
  [[nodiscard]] static std::string document(int version);
  /// Waits until the entry says that it is ready.
  [[nodiscard]] bool await_ready(std::string const& entry) const;

  [[nodiscard]] platform_endpoint& endpoint(std::size_t index) { return *m_endpoints.at(index); }
  /// All that both endpoints ran for the request with this id.
  [[nodiscard]] std::vector<received_request> requests_executed_for(std::string const& id) const;

  static constexpr char const* control_ip = "127.0.0.2";
  [[nodiscard]] std::string const& ip_of(std::string const& name) const { return m_ips.at(name); }
  [[nodiscard]] int peer_port() const { return m_peer_port; }
  [[nodiscard]] int caller_port() const { return m_caller_port; }
  [[nodiscard]] int call_port() const { return m_call_port; }
  [[nodiscard]] int ready_port() const { return m_ready_port; }
  [[nodiscard]] std::string log(std::string const& name) const;

private:
  void write_settings(std::string const& name, std::string const& log_level = "info") const;

  std::filesystem::path m_folder;
  std::map<std::string, std::string> m_ips;
  int m_peer_port;
  int m_caller_port;
  int m_ready_port;
  int m_call_port;
  std::map<std::string, child_process> m_processes;
  std::vector<std::unique_ptr<platform_endpoint>> m_endpoints;
  std::map<std::string, int> m_sequences;
};

} // namespace catkinlanding::testing
