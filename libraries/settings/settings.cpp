#include <libraries/base/verify.h>
#include <libraries/json/object_reader.h>
#include <libraries/settings/settings.h>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

namespace catkinlanding::settings {

namespace {

using json::object_reader;

constexpr std::array<std::string_view, 5> log_levels{"debug", "info", "warning", "error", "off"};

constexpr std::int64_t longest_timeout_milliseconds = 24 * 60 * 60 * 1000;
constexpr std::size_t longest_name = 64;

bool is_ip_number(std::string const& text) {
  std::array<unsigned char, sizeof(in6_addr)> ignored{};
  return inet_pton(AF_INET, text.c_str(), ignored.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), ignored.data()) == 1;
}

bool is_name(std::string const& text) {
  auto const is_allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= longest_name && std::ranges::all_of(text, is_allowed);
}

void read_name(object_reader& reader, char const* name, std::string& value) {
  bool const is_given = reader.required(name, value);
  if (is_given && !is_name(value)) {
    reader.fail(name, "must be 1 to 64 letters, digits, dots, hyphens or underscores");
  }
}

void read_address(object_reader& reader, base::address& address) {
  if (reader.required("ip", address.ip) && !is_ip_number(address.ip)) {
    reader.fail("ip", "must be an IP number");
  }
  if (reader.required("port", address.port) && address.port == 0) {
    reader.fail("port", "must be from 1 to 65535");
  }
}

void read_timeout(object_reader& reader, char const* name, base::duration& value) {
  auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
  reader.optional(name, milliseconds);
  if (milliseconds < 1 || milliseconds > longest_timeout_milliseconds) {
    reader.fail(name, "must be from 1 to 86400000");
    return;
  }
  value = std::chrono::milliseconds(milliseconds);
}

void read_bound(object_reader& reader, char const* name, std::uint32_t least,
                std::uint32_t& value) {
  reader.optional(name, value);
  if (value < least) {
    reader.fail(name, "must be at least " + std::to_string(least));
  }
}

void read_callers(object_reader& reader, caller_settings& value) {
  constexpr std::uint32_t least_bytes = 1024;
  read_address(reader, value.listener);
  read_bound(reader, "most_connections", 1, value.most_connections);
  read_bound(reader, "largest_body_bytes", least_bytes, value.largest_body_bytes);
  read_bound(reader, "largest_header_bytes", least_bytes, value.largest_header_bytes);
  read_bound(reader, "largest_queue_bytes", least_bytes, value.largest_queue_bytes);
  read_timeout(reader, "read_timeout_ms", value.read_timeout);
  read_timeout(reader, "write_timeout_ms", value.write_timeout);
  read_timeout(reader, "stop_notice_ms", value.stop_notice);
}

void read_endpoints(object_reader& reader, endpoint_settings& value) {
  constexpr std::uint32_t least_bytes = 1024;
  read_bound(reader, "largest_answer_bytes", least_bytes, value.largest_answer_bytes);
  read_timeout(reader, "connect_timeout_ms", value.connect_timeout);
  read_timeout(reader, "write_timeout_ms", value.write_timeout);
  read_timeout(reader, "head_timeout_ms", value.head_timeout);
  read_timeout(reader, "silence_timeout_ms", value.silence_timeout);
}

void read_machine(object_reader& reader, machine_settings& value) {
  constexpr std::uint32_t least_megabytes = 16;
  constexpr std::uint32_t least_descriptors = 128;
  read_bound(reader, "memory_mb", least_megabytes, value.memory_megabytes);
  reader.optional("max_descriptors", value.max_descriptors);
  if (value.max_descriptors != 0 && value.max_descriptors < least_descriptors) {
    reader.fail("max_descriptors", "must be 0 or at least 128");
  }
}

/// Refuses an id or an address that an instance before this one has.
void check_duplicates(object_reader& reader, std::vector<instance_settings> const& others,
                      instance_settings const& value) {
  auto const has_id = [&](auto const& other) { return other.id == value.id; };
  auto const has_address = [&](auto const& other) { return other.address == value.address; };
  if (std::ranges::any_of(others, has_id)) {
    reader.fail("id", "is the id of another instance too");
  }
  if (std::ranges::any_of(others, has_address)) {
    reader.fail("port", "is the address of another instance too");
  }
}

instance_settings read_instance(object_reader& reader,
                                std::vector<instance_settings> const& others) {
  instance_settings value;
  read_name(reader, "id", value.id.value);
  read_name(reader, "zone", value.zone.value);
  read_address(reader, value.address);
  reader.optional("control", value.is_control);
  reader.optional("relay", value.is_relay);
  if (value.is_control && value.is_relay) {
    reader.fail("relay", "can't be held with the control role");
  }
  check_duplicates(reader, others, value);
  return value;
}

void check_own_listeners(object_reader& reader, daemon_settings const& value,
                         base::address const& own) {
  if (value.callers.listener == own) {
    reader.fail("callers", "is the address for other instances too");
  }
  if (value.operator_listener == own || value.operator_listener == value.callers.listener) {
    reader.fail("operators", "is the address of another listener too");
  }
}

void check(object_reader& reader, daemon_settings const& value) {
  auto const is_self = [&](instance_settings const& i) { return i.id == value.id; };
  auto const self = std::ranges::find_if(value.instances, is_self);
  if (self == value.instances.end()) {
    reader.fail("instances", "has no entry for this instance");
  } else {
    check_own_listeners(reader, value, self->address);
    if (self->is_control && !value.data_folder) {
      reader.fail("data_folder", "is needed by an instance with the control role");
    }
  }
  if (std::ranges::none_of(value.instances, &instance_settings::is_control)) {
    reader.fail("instances", "has no instance with the control role");
  }
  if (floor_holders(value.instances) > max_floor_holders) {
    reader.fail("instances", "has more than " + std::to_string(max_floor_holders) +
                                 " relays and instances of zones without a relay");
  }
  if (std::ranges::find(log_levels, value.log_level) == log_levels.end()) {
    reader.fail("log_level", "must be debug, info, warning, error or off");
  }
}

} // namespace

std::size_t floor_holders(std::vector<instance_settings> const& instances) {
  auto const has_relay = [&](base::availability_zone_id const& zone) {
    return std::ranges::any_of(instances, [&](instance_settings const& other) {
      return other.is_relay && other.zone == zone;
    });
  };
  return static_cast<std::size_t>(
      std::ranges::count_if(instances, [&](instance_settings const& instance) {
        return instance.is_relay || !has_relay(instance.zone);
      }));
}

instance_settings const& daemon_settings::self() const {
  auto const it = std::ranges::find_if(instances, [&](auto const& i) { return i.id == id; });
  CATKINLANDING_VERIFY(it != instances.end());
  return *it;
}

tl::expected<daemon_settings, std::vector<json::document_error>> parse(std::string_view text) {
  daemon_settings value;
  auto errors = json::read_document(text, [&](object_reader& reader) {
    read_name(reader, "id", value.id.value);
    reader.required_object("callers", [&](auto& nested) { read_callers(nested, value.callers); });
    reader.required_object("operators",
                           [&](auto& nested) { read_address(nested, value.operator_listener); });
    reader.object("endpoints", [&](auto& nested) { read_endpoints(nested, value.endpoints); });
    reader.object("machine", [&](auto& nested) { read_machine(nested, value.machine); });
    reader.each("instances", [&](auto& nested) {
      value.instances.push_back(read_instance(nested, value.instances));
    });
    std::string folder;
    reader.optional("data_folder", folder);
    if (!folder.empty()) {
      value.data_folder = folder;
    }
    reader.optional("log_level", value.log_level);
    check(reader, value);
  });
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  return value;
}

} // namespace catkinlanding::settings
