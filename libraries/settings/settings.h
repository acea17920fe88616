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

/// What one process is told at its start: who it is, where it listens and whom it may meet.
namespace catkinlanding::settings {

/// Another instance, or this one, as the others see it.
struct instance_settings {
  base::instance_id id;
  base::availability_zone_id zone;
  /// For messages between instances, over UDP and TCP on the same port.
  base::address address;
  bool is_control = false;
  /// Set aside to hand on the catalogue and shares of limits in its zone; never a voter.
  bool is_relay = false;

  bool operator==(instance_settings const&) const = default;
};

/// How callers are held within bounds.
struct caller_settings {
  base::address listener;
  std::uint32_t most_connections = 4096;
  std::uint32_t largest_body_bytes = 8 * 1024 * 1024;
  std::uint32_t largest_header_bytes = 16 * 1024;
  /// Bytes of a stream that wait for a slow caller; beyond them the stream is broken off.
  std::uint32_t largest_queue_bytes = 1024 * 1024;
  base::duration read_timeout = std::chrono::seconds(15);
  base::duration write_timeout = std::chrono::seconds(30);
  /// How long a stopping instance goes on taking requests while the balancer learns of it.
  base::duration stop_notice = std::chrono::seconds(2);

  bool operator==(caller_settings const&) const = default;
};

/// How exchanges with endpoints are held within bounds.
struct endpoint_settings {
  /// Bytes of an answer that is not streamed.
  std::uint32_t largest_answer_bytes = 16 * 1024 * 1024;
  base::duration connect_timeout = std::chrono::seconds(1);
  base::duration write_timeout = std::chrono::seconds(10);
  /// From the last byte of the request to the first of the answer.
  base::duration head_timeout = std::chrono::minutes(15);
  /// Between two pieces of an answer that is not streamed.
  base::duration silence_timeout = std::chrono::seconds(60);

  bool operator==(endpoint_settings const&) const = default;
};

/// What the process may use of its machine.
struct machine_settings {
  std::uint32_t memory_megabytes = 256;
  /// 0 for as many descriptors as the operating system allows.
  std::uint32_t max_descriptors = 0;

  bool operator==(machine_settings const&) const = default;
};

struct daemon_settings {
  base::instance_id id;
  /// Callers and endpoints speak HTTP to this address.
  caller_settings callers;
  endpoint_settings endpoints;
  machine_settings machine;
  /// Operators speak to this address.
  base::address operator_listener;
  /// Every instance of the deployment, this one included.
  std::vector<instance_settings> instances;
  /// Where an instance with the control role keeps its files.
  std::optional<std::string> data_folder;
  std::string log_level = "info";

  bool operator==(daemon_settings const&) const = default;

  [[nodiscard]] instance_settings const& self() const;
};

/// Instances with a floor of each limit: the relays, and those of zones without any. More of them
/// would break the limits, so the settings are refused then.
inline constexpr std::size_t max_floor_holders = 18;

[[nodiscard]] std::size_t floor_holders(std::vector<instance_settings> const& instances);

/// Reads JSON with comments, and reports every fault that it finds.
[[nodiscard]] tl::expected<daemon_settings, std::vector<json::document_error>>
parse(std::string_view text);

} // namespace catkinlanding::settings
