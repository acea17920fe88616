#include <libraries/json/object_reader.h>
#include <libraries/proxy/settings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace catkinlanding::proxy {

namespace {

using json::object_reader;

constexpr std::array<std::string_view, 6> log_levels{"trace",   "debug", "info",
                                                     "warning", "error", "off"};

/// Fewer leave no connection for some of the addresses.
constexpr double min_descriptors = 64.0;
constexpr double max_descriptors = 1024.0 * 1024.0;

constexpr double max_memory_megabytes = 1024.0 * 1024.0;

std::optional<base::address> optional_address(object_reader& reader, char const* name) {
  std::string text;
  reader.optional(name, text);
  if (text.empty()) {
    return std::nullopt;
  }
  auto address = parse_address(text);
  if (!address) {
    reader.fail(name, "must be an IPv4 address and a port, separated by a colon");
  }
  return address;
}

void read_milliseconds(object_reader& reader, char const* name, base::duration& value) {
  double milliseconds = std::chrono::duration<double, std::milli>(value).count();
  reader.optional(name, milliseconds);
  if (!(milliseconds > 0.0)) {
    reader.fail(name, "must be more than 0");
    return;
  }
  value = std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

void read_megabytes(object_reader& reader, char const* name, std::size_t& value) {
  constexpr double bytes_per_megabyte = 1024.0 * 1024.0;
  double megabytes = static_cast<double>(value) / bytes_per_megabyte;
  reader.optional(name, megabytes);
  if (!(megabytes >= 1.0 && megabytes <= max_memory_megabytes)) {
    reader.fail(name, "must be from 1 to 1048576");
    return;
  }
  value = static_cast<std::size_t>(megabytes * bytes_per_megabyte);
}

void read_descriptors(object_reader& reader, std::optional<std::size_t>& value) {
  double number = 0.0;
  reader.optional("max_descriptors", number);
  if (number == 0.0) {
    return;
  }
  if (!(number >= min_descriptors && number <= max_descriptors)) {
    reader.fail("max_descriptors", "must be 0 or from 64 to 1048576");
    return;
  }
  value = static_cast<std::size_t>(number);
}

void read_share(object_reader& reader, char const* name, double& value) {
  reader.optional(name, value);
  if (!(value >= 0.0 && value <= 1.0)) {
    reader.fail(name, "must be from 0 to 1");
  }
}

void read_allowance(object_reader& reader, char const* name, double& value) {
  reader.optional(name, value);
  if (!(value >= 0.0)) {
    reader.fail(name, "must not be negative");
  }
}

void read_seeds(object_reader& reader, process_settings& value) {
  std::vector<std::string> seeds;
  reader.required("seeds", seeds);
  for (auto const& seed : seeds) {
    if (auto address = parse_address(seed)) {
      value.seeds.push_back(*address);
    } else {
      reader.fail("seeds", "must contain IPv4 addresses with ports");
    }
  }
  if (seeds.empty()) {
    reader.fail("seeds", "must not be empty");
  }
}

void read_listeners(object_reader& reader, process_settings& value) {
  if (auto peers = optional_address(reader, "peers")) {
    value.peers = *peers;
  } else {
    reader.fail("peers", "is missing");
  }
  value.callers = optional_address(reader, "callers");
  value.readiness = optional_address(reader, "readiness");
  value.calls = optional_address(reader, "calls");
  reader.optional("metrics_port", value.metrics_port);
}

void read_bounds(object_reader& reader, process_settings& value) {
  read_milliseconds(reader, "stop_patience_ms", value.shutdown_timeout);
  read_allowance(reader, "retry_ratio", value.retry_ratio);
  read_allowance(reader, "retry_slack", value.retry_slack);
  read_milliseconds(reader, "retry_window_ms", value.retry_window);
  read_share(reader, "trial_share", value.trial_share);
  read_milliseconds(reader, "resend_ms", value.resend_timeout);
  read_megabytes(reader, "memory_mb", value.memory_bytes);
  read_descriptors(reader, value.max_descriptors);
  read_milliseconds(reader, "announcement_interval_ms", value.announcement_interval);
}

void read_replaced_answers(object_reader& reader, process_settings& value) {
  std::string name = "all";
  reader.optional("replaced_answers", name);
  if (name == "by_capacity") {
    value.replaced_answers = replaced_answers::by_capacity;
  } else if (name != "all") {
    reader.fail("replaced_answers", "must be all or by_capacity");
  }
}

std::size_t read_count(object_reader& reader, char const* name) {
  constexpr double max_count = 1000.0;
  double number = 0.0;
  // One that is left out would read as no loss at all.
  reader.required(name, number);
  if (!(number >= 0.0 && number <= max_count)) {
    reader.fail(name, "must be from 0 to 1000");
    return 0;
  }
  return static_cast<std::size_t>(std::ceil(number));
}

void read_tolerated_losses(object_reader& reader, process_settings& value) {
  value.tolerated_losses = {.instances = read_count(reader, "instances"),
                            .availability_zones = read_count(reader, "availability_zones"),
                            .zone_count = 0};
  std::vector<std::string> zones;
  reader.optional("zones", zones);
  value.tolerated_losses->zone_count = zones.size();
}

} // namespace

base::instance_id instance_at(base::address const& address) {
  return base::instance_id{format_address(address)};
}

base::instance_id process_settings::id() const {
  return instance_at(peers);
}

std::string format_address(base::address const& address) {
  return address.ip + ":" + std::to_string(address.port);
}

std::optional<base::address> parse_address(std::string_view text) {
  auto const colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  auto const digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  auto const result = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  bool const is_whole = result.ec == std::errc{} && result.ptr == digits.data() + digits.size();
  auto const ip = text.substr(0, colon);
  bool const is_number = ip.find_first_not_of("0123456789.") == std::string_view::npos;
  if (!is_whole || port == 0 || !is_number) {
    return std::nullopt;
  }
  return base::address{.ip = std::string(ip), .port = port};
}

tl::expected<process_settings, std::vector<json::document_error>>
parse_settings(std::string_view text) {
  process_settings value;
  auto errors = json::read_document(text, [&](object_reader& reader) {
    reader.required("name", value.name);
    reader.required("zone", value.zone.value);
    reader.required_object("listeners",
                           [&](object_reader& nested) { read_listeners(nested, value); });
    read_seeds(reader, value);
    reader.optional("first_start", value.is_first_start);
    std::string folder;
    reader.optional("data_folder", folder);
    if (!folder.empty()) {
      value.data_folder = folder;
    }
    reader.optional("files_keep_place", value.has_stable_inodes);
    reader.object("bounds", [&](object_reader& nested) { read_bounds(nested, value); });
    read_replaced_answers(reader, value);
    reader.object("tolerated_losses",
                  [&](object_reader& nested) { read_tolerated_losses(nested, value); });
    reader.optional("log_level", value.log_level);
    if (std::ranges::find(log_levels, value.log_level) == log_levels.end()) {
      reader.fail("log_level", "must be trace, debug, info, warning, error or off");
    }
  });
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  return value;
}

} // namespace catkinlanding::proxy
