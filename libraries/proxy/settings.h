#pragma once

#include <libraries/base/address.h>
#include <libraries/base/identifier.h>
#include <libraries/base/time.h>
#include <libraries/json/document_error.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinlanding::proxy {

/// What one process that passes requests on is told at its start.
struct process_settings {
  /// Its name in logs.
  std::string name;
  base::availability_zone_id zone;
  /// For messages between instances, over UDP and TCP on the same port.
  base::address peers;
  /// Callers connect here; set on entry instances.
  std::optional<base::address> callers;
  /// The platform's balancer asks here whether to send callers; set on entry instances.
  std::optional<base::address> readiness;
  /// Operators and endpoints call here; set on control instances.
  std::optional<base::address> calls;
  /// Metrics are served on this port of the own address; 0 for none.
  std::uint16_t metrics_port = 0;
  /// Where control instances take calls. At the first start it names the first voters.
  std::vector<base::address> seeds;
  /// Whether the whole deployment starts for the first time.
  bool is_first_start = false;
  /// Where a control instance keeps its files.
  std::optional<std::string> data_folder;
  /// Whether files keep their place on the disk when a machine restarts. Where they do, a data
  /// folder that has another place is refused as an older copy.
  bool has_stable_inodes = true;
  /// A stop that takes longer is ended by the platform.
  base::duration shutdown_timeout = std::chrono::seconds(8);
  /// The bounds on further attempts that hold for all instances together.
  double retry_ratio = 0.1;
  std::uint32_t retry_slack = 10;
  base::duration retry_window = std::chrono::seconds(10);
  /// The share of a service's requests that a version on trial may get.
  double trial_share = 0.1;
  /// How often endpoints announce themselves.
  base::duration announcement_interval = std::chrono::seconds(1);
  std::string log_level = "info";

  /// The instance's name among its peers: where they reach it.
  [[nodiscard]] base::instance_id id() const;
};

/// The name of the instance that peers reach at the address.
[[nodiscard]] base::instance_id instance_at(base::address const& address);
/// Reads "ip:port".
[[nodiscard]] std::optional<base::address> parse_address(std::string_view text);
[[nodiscard]] std::string format_address(base::address const& address);

/// Reads JSON with comments, and reports every fault that it finds.
[[nodiscard]] tl::expected<process_settings, std::vector<json::document_error>>
parse_settings(std::string_view text);

} // namespace catkinlanding::proxy
