#pragma once

#include <libraries/base/address.h>
#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <tuple>

namespace catkinlanding::proxy {

/// Orders the announcements of one endpoint: first by incarnation, then by sequence number.
struct announcement_number {
  /// Start time of the endpoint in milliseconds since 1970, by its own clock.
  std::uint64_t incarnation = 0;
  /// Increases with each announcement of one incarnation.
  std::uint64_t sequence = 0;

  auto operator<=>(announcement_number const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, sequence);
  }
};

/// What an endpoint announces about itself.
struct endpoint_announcement {
  base::endpoint_id id;
  base::service_id service;
  base::address address;
  base::availability_zone_id zone;
  /// Software version.
  base::version_id version;
  /// Number of requests that it can run concurrently; 0 if unknown.
  std::uint32_t slots = 0;
  bool is_leaving = false;
  /// How long the endpoint remains slower than usual after this announcement.
  base::duration warmup_left{};
  announcement_number number;

  bool operator==(endpoint_announcement const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(id, service, address, zone, version, slots, is_leaving, warmup_left, number);
  }
};

enum class endpoint_state : std::uint8_t {
  ready,
  /// It finishes its current requests and accepts no new ones.
  leaving,
  /// No announcement arrived within the silence timeout.
  silent,
  /// It was withdrawn, or another endpoint has taken over its address.
  gone,
};
/// Larger values are rejected during decoding.
constexpr endpoint_state last_enumerator(endpoint_state /*any*/) {
  return endpoint_state::gone;
}

[[nodiscard]] constexpr char const* name_of(endpoint_state state) {
  switch (state) {
  case endpoint_state::ready:
    return "ready";
  case endpoint_state::leaving:
    return "leaving";
  case endpoint_state::silent:
    return "silent";
  case endpoint_state::gone:
    return "gone";
  }
  return "unknown";
}

/// The state of an endpoint as determined by the control instances.
struct endpoint_record {
  endpoint_announcement announcement;
  endpoint_state state = endpoint_state::ready;
  /// The registry revision of the last change to this record.
  std::uint64_t revision = 0;

  bool operator==(endpoint_record const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(announcement, state, revision);
  }
};

} // namespace catkinlanding::proxy
