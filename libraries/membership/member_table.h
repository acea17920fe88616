#pragma once

#include <libraries/base/random.h>
#include <libraries/base/time.h>
#include <libraries/membership/member.h>

#include <cstddef>
#include <map>

namespace catkinlanding::membership {

/// Members of this instance's availability zone and the control instances of all zones, each with
/// the time of its last update.
///
/// Every interval an instance increments its own heartbeat and sends a few members to a few others.
/// The least often sent updates go first, so that they spread in a number of intervals logarithmic
/// in the zone's size, while the bytes per interval stay constant.
class member_table {
public:
  struct options {
    member self;
    /// Instances from the settings, used to join a deployment. They are never forgotten.
    std::vector<member> seeds;
    std::uint64_t seed = 0;
    base::duration interval = std::chrono::seconds(1);
    /// Interval of gossip to other zones. It is longer, as the few control instances receive all of
    /// it.
    base::duration cross_zone_interval = std::chrono::seconds(10);
    /// Zone size up to which that interval applies. In larger zones it grows in proportion, so that
    /// the zone's total cross-zone traffic stays constant.
    std::size_t cross_zone_senders = 10;
    /// Receivers per interval in this zone, and in other zones.
    std::size_t zone_fan_out = 2;
    std::size_t cross_zone_fan_out = 1;
    std::size_t members_per_message = 12;
    /// A member without an update for this long is not live.
    base::duration liveness_timeout = std::chrono::seconds(15);
    /// The same for members of other zones, whose updates arrive less often.
    base::duration cross_zone_liveness_timeout = std::chrono::seconds(90);
    /// Time without incoming gossip after which this instance requests replies.
    base::duration isolation_timeout = std::chrono::seconds(4);
    /// Time without an update after which a member other than a seed is removed.
    base::duration forget_after = std::chrono::minutes(10);
    /// Bounds the table against a flood of forged names.
    std::size_t max_members = 2048;
  };

  explicit member_table(options options, base::monotonic_time now);

  void tick(base::monotonic_time now, effects& out);
  void receive(base::instance_id const& from, gossip const& gossip, base::monotonic_time now,
               effects& out);

  /// Announces to others that this instance is stopping.
  void leave(base::monotonic_time now, effects& out);

  /// Live members of this zone except this instance, sorted by name.
  [[nodiscard]] std::vector<base::instance_id> zone_peers(base::monotonic_time now) const;
  /// The same except relays.
  [[nodiscard]] std::vector<base::instance_id> entry_peers(base::monotonic_time now) const;
  /// Live control instances except this one, those of this zone first.
  [[nodiscard]] std::vector<base::instance_id> control_instances(base::monotonic_time now) const;

  [[nodiscard]] member const* find(base::instance_id const& id) const;
  [[nodiscard]] bool is_live(base::instance_id const& id, base::monotonic_time now) const;
  [[nodiscard]] std::size_t size() const { return m_members.size(); }

  /// Returns the members whose address is new or has changed since the last call.
  [[nodiscard]] std::vector<member> take_address_changes();

  /// Whether a process that started later uses the name of this instance.
  [[nodiscard]] bool is_name_taken() const { return m_is_name_taken; }

private:
  struct record {
    membership::member member;
    base::monotonic_time last_update{};
    /// How often the current description of the member has been sent.
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
