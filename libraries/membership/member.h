#pragma once

#include <libraries/base/address.h>
#include <libraries/base/identifier.h>

#include <cstdint>
#include <tuple>
#include <vector>

/// Group membership by gossip, so that no settings file has to list all instances.
namespace catkinlanding::membership {

/// The self-description of one instance.
struct member {
  base::instance_id id;
  base::availability_zone_id zone;
  base::address address;
  bool is_control = false;
  /// Dedicated to serving the zone's instances; accepts no requests of callers.
  bool is_relay = false;
  /// Grows with each start of the instance.
  std::uint64_t incarnation = 0;
  /// Grows while the instance is running.
  std::uint64_t heartbeat = 0;
  /// Set during a graceful stop.
  bool is_leaving = false;

  bool operator==(member const&) const = default;

  /// Orders the descriptions of one instance; the greater one is newer.
  [[nodiscard]] auto precedence() const { return std::tuple(incarnation, is_leaving, heartbeat); }

  template<class Archive>
  void serialize(Archive& archive) {
    archive(id, zone, address, is_control, is_relay, incarnation, heartbeat, is_leaving);
  }
};

/// A subset of the members known to the sender.
struct gossip {
  std::vector<member> members;
  /// Set by an instance that receives no gossip, perhaps because no other instance knows it yet.
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
