#pragma once

#include <libraries/base/random.h>
#include <libraries/base/time.h>
#include <libraries/membership/member.h>

#include <cstddef>
#include <map>

namespace catkinlanding::membership {

/// The instances of the own availability zone and the control instances of all zones, each with
/// the time of its last sign of life.
///
/// Every interval an instance raises its own heartbeat and sends a few members to a few others.
/// Members that were passed on least are sent first, so news spreads in a number of intervals that
/// grows with the logarithm of the zone's size, while the bytes for each interval stay the same.
class member_table {
public:
  struct options {
    member self;
    /// Instances from the settings, by which a deployment can be joined. They are never forgotten.
    std::vector<member> seeds;
    std::uint64_t seed = 0;
    base::duration interval = std::chrono::seconds(1);
    /// Gossip leaves the own zone this seldom, since all of it meets at the few control instances.
    base::duration cross_zone_interval = std::chrono::seconds(10);
    /// In a larger zone it leaves more seldom still, so that the zone as a whole sends the same.
    std::size_t cross_zone_senders = 10;
    /// Receivers of each interval's gossip in the own zone, and in the others.
    std::size_t zone_fan_out = 2;
    std::size_t cross_zone_fan_out = 1;
    std::size_t members_per_message = 12;
    /// A member that gave no sign of life for this long is not counted as live.
    base::duration liveness_timeout = std::chrono::seconds(15);
    /// The same for members of other zones, of which less is heard.
    base::duration cross_zone_liveness_timeout = std::chrono::seconds(90);
    /// An instance to which nobody has sent anything for this long asks for an answer.
    base::duration isolation_timeout = std::chrono::seconds(4);
    /// A silent member that is no seed is forgotten after this long.
    base::duration forget_after = std::chrono::minutes(10);
    /// Bounds the table against a flood of made-up names.
    std::size_t max_members = 2048;
  };

  explicit member_table(options options, base::monotonic_time now);

  void tick(base::monotonic_time now, effects& out);
  void receive(base::instance_id const& from, gossip const& gossip, base::monotonic_time now,
               effects& out);

  /// Tells others that this instance is stopping.
  void leave(base::monotonic_time now, effects& out);

  /// Live members of the own zone without this instance, in the order of their names.
  [[nodiscard]] std::vector<base::instance_id> zone_peers(base::monotonic_time now) const;
  /// The same without relays.
  [[nodiscard]] std::vector<base::instance_id> entry_peers(base::monotonic_time now) const;
  /// Live control instances without this one, those of the own zone first.
  [[nodiscard]] std::vector<base::instance_id> control_instances(base::monotonic_time now) const;

  [[nodiscard]] member const* find(base::instance_id const& id) const;
  [[nodiscard]] bool is_live(base::instance_id const& id, base::monotonic_time now) const;
  [[nodiscard]] std::size_t size() const { return m_members.size(); }

  /// Members whose address is new or has changed since the last call.
  [[nodiscard]] std::vector<member> take_address_changes();

  /// Whether another process runs under the name of this instance and started later.
  [[nodiscard]] bool is_name_taken() const { return m_is_name_taken; }

private:
  struct record {
    membership::member member;
    base::monotonic_time last_update{};
    /// How often the present word of the member was passed on.
    std::size_t times_sent = 0;
    bool is_seed = false;
  };

  [[nodiscard]] base::duration effective_cross_zone_interval(base::monotonic_time now) const;
  void merge(member const& member, base::monotonic_time now);
  [[nodiscard]] bool is_relevant(member const& member) const;
  void send_to(base::instance_id const& to, bool wants_reply, effects& out);
  [[nodiscard]] std::vector<member> next_members();
  [[nodiscard]] std::vector<base::instance_id> pick_receivers(bool in_own_zone, std::size_t count);
  [[nodiscard]] bool is_live(record const& record, base::monotonic_time now) const;

  options m_options;
  base::random_generator m_random;
  std::map<base::instance_id, record> m_members;
  std::vector<member> m_address_changes;
  base::monotonic_time m_due{};
  base::monotonic_time m_cross_zone_due{};
  base::monotonic_time m_isolated_at{};
  bool m_is_name_taken = false;
};

} // namespace catkinlanding::membership
