#pragma once

#include <libraries/base/address.h>
#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <cstdint>
#include <tuple>

namespace catkinlanding::proxy {

/// One start of an endpoint and the order of what it says: later words have greater numbers.
struct announcement_number {
  /// Milliseconds since 1970 at which the endpoint started, by its own clock.
  std::uint64_t incarnation = 0;
  /// Grows with each announcement of one start.
  std::uint64_t sequence = 0;

  auto operator<=>(announcement_number const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, sequence);
  }
};

/// What an endpoint says of itself.
struct endpoint_announcement {
  base::endpoint_id id;
  base::service_id service;
  base::address address;
  base::availability_zone_id zone;
  /// Of its software.
  base::version_id version;
  /// Requests that it runs at once.
  std::uint32_t slots = 0;
  bool is_leaving = false;
  /// For so long after this word it is slower than usual.
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
  /// It finishes what it has, and takes nothing new.
  leaving,
  /// It was not heard for longer than its announcements may take.
  silent,
  /// It said that it ends, or another endpoint has its address.
  gone,
};
/// Greater numbers are refused when they are decoded.
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

/// What the control instances make of an endpoint's words.
struct endpoint_record {
  endpoint_announcement announcement;
  endpoint_state state = endpoint_state::ready;
  /// The registry's revision at which this was last changed.
  std::uint64_t revision = 0;

  bool operator==(endpoint_record const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(announcement, state, revision);
  }
};

} // namespace catkinlanding::proxy
