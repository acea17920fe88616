#pragma once

#include <libraries/base/address.h>
#include <libraries/base/identifier.h>

#include <cstdint>
#include <tuple>
#include <vector>

/// Which instances there are, learned by gossip, so that no settings file has to name them all.
namespace catkinlanding::membership {

/// What one instance says of itself.
struct member {
  base::instance_id id;
  base::availability_zone_id zone;
  base::address address;
  bool is_control = false;
  /// Set aside to serve the zone's instances; takes no callers' requests.
  bool is_relay = false;
  /// Grows with each start of the instance.
  std::uint64_t incarnation = 0;
  /// Grows while the instance lives.
  std::uint64_t heartbeat = 0;
  /// Set by an instance that stops gracefully.
  bool is_leaving = false;

  bool operator==(member const&) const = default;

  /// Later words of one instance have a larger age.
  [[nodiscard]] auto precedence() const { return std::tuple(incarnation, is_leaving, heartbeat); }

  template<class Archive>
  void serialize(Archive& archive) {
    archive(id, zone, address, is_control, is_relay, incarnation, heartbeat, is_leaving);
  }
};

/// A part of what the sender knows.
struct gossip {
  std::vector<member> members;
  /// Set by an instance to which nobody sends, because nobody may know of it yet.
  bool wants_reply = false;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(members, wants_reply);
  }
};

using message = gossip;

struct outgoing {
  base::instance_id to;
  membership::message message;
};

using effects = std::vector<outgoing>;

} // namespace catkinlanding::membership
