#pragma once

#include <libraries/base/address.h>
#include <libraries/base/identifier.h>
#include <libraries/base/time.h>
#include <libraries/json/document_error.h>
#include <libraries/voters/tolerated_losses.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinlanding::proxy {

/// Which doubtful answers of a small model are replaced, where a route allows several models.
enum class replaced_answers : std::uint8_t {
  /// Each one, while an endpoint is idle and a retry is left.
  all,
  /// The fewer the less of the endpoints' capacity is free, the least confident first.
  by_capacity,
};

/// Startup settings of a proxy process.
struct process_settings {
  /// Instance name for logs.
  std::string name;
  base::availability_zone_id zone;
  /// Address for messages between instances, over UDP and TCP on the same port.
  base::address peers;
  /// Listening address for callers; set on entry instances.
  std::optional<base::address> callers;
  /// Listening address for readiness checks by the platform's load balancer; set on entry
  /// instances.
  std::optional<base::address> readiness;
  /// Listening address for operators and endpoints; set on control instances.
  std::optional<base::address> calls;
  /// Port on which metrics are served; 0 to disable them.
  std::uint16_t metrics_port = 0;
  /// Call addresses of control instances. At the first start of a deployment these become the
  /// initial voters.
  std::vector<base::address> seeds;
  /// Whether the deployment starts for the first time.
  bool is_first_start = false;
  /// Directory for the files of a control instance.
  std::optional<std::string> data_folder;
  /// Whether files keep their inode and creation time when a machine restarts. If so, a data folder
  /// where these have changed is rejected as an outdated copy.
  bool has_stable_inodes = true;
  /// Time after which the platform kills a process that has not stopped.
  base::duration shutdown_timeout = std::chrono::seconds(8);
  /// Bounds on retries that apply to all instances together.
  double retry_ratio = 0.1;
  double retry_slack = 10;
  base::duration retry_window = std::chrono::seconds(10);
  /// Largest share of a service's requests for a version on trial.
  double trial_share = 0.1;
  /// Operators send an order again for at most this long after they sent it first.
  base::duration resend_timeout = std::chrono::seconds(5);
  /// Memory that the process may use, in bytes. The platform ends a process that uses more.
  std::size_t memory_bytes = 160UL * 1024 * 1024;
  /// Descriptors that the process may have open; those that the operating system allows by default.
  std::optional<std::size_t> max_descriptors;
  /// Interval between the announcements of an endpoint.
  base::duration announcement_interval = std::chrono::seconds(1);
  proxy::replaced_answers replaced_answers = proxy::replaced_answers::all;
  /// What the deployment has to tolerate at once; nothing if it isn't stated.
  std::optional<voters::tolerated_losses> tolerated_losses;
  std::string log_level = "info";

  /// The instance's id among its peers, derived from its address.
  [[nodiscard]] base::instance_id id() const;
};

/// The id of the instance with this peer address.
[[nodiscard]] base::instance_id instance_at(base::address const& address);
/// Parses "ip:port".
[[nodiscard]] std::optional<base::address> parse_address(std::string_view text);
[[nodiscard]] std::string format_address(base::address const& address);

/// Parses JSON with comments. Returns all errors, not only the first.
[[nodiscard]] tl::expected<process_settings, std::vector<json::document_error>>
parse_settings(std::string_view text);

} // namespace catkinlanding::proxy
