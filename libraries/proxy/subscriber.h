#pragma once

#include <libraries/proxy/message.h>

#include <optional>
#include <vector>

namespace catkinlanding::proxy {

/// A message and its recipient.
struct outgoing {
  base::instance_id to;
  proxy::message message;
  /// Whether what was last sent to the recipient seems to be lost. A connection that was open then
  /// may take what is sent and deliver nothing, so this message needs another one.
  bool needs_new_connection = false;
};

/// Synchronizes an instance with the leader of the control instances: finds the leader, sends it
/// periodic subscriptions, and switches to another instance if it stops answering.
class subscriber {
public:
  struct options {
    base::instance_id self;
    /// Control instances to contact first. At least one of them must know the leader.
    std::vector<base::instance_id> seeds;
    base::duration interval = std::chrono::milliseconds(400);
    /// Replaces the interval while the leader waits for this instance's measurements.
    base::duration urgent_interval = std::chrono::milliseconds(200);
    /// Time without a reply after which another control instance is contacted.
    base::duration upstream_timeout = std::chrono::milliseconds(900);
    /// Replaces both of the above while no leader is known.
    base::duration search_interval = std::chrono::milliseconds(100);
    std::uint64_t seed = 0;

    /// Time without a reply after which the leader's grants no longer apply.
    [[nodiscard]] base::duration contact_timeout() const { return 2 * upstream_timeout; }
  };

  explicit subscriber(options options);

  /// Replaces the seeds from the settings.
  void use_seeds(std::vector<base::instance_id> seeds);
  /// Returns the instance to send a subscription to now, or nothing if none is due. `is_urgent`
  /// tells whether the leader waits for measurements.
  [[nodiscard]] std::optional<base::instance_id> tick(base::monotonic_time now,
                                                      bool is_urgent = false);
  /// Whether the subscription before the last one had no reply.
  [[nodiscard]] bool lacks_reply() const { return m_lacks_reply; }
  /// Handles a referral and returns the instance to contact at once, if any. Only one referral is
  /// followed per tick, since two instances may refer to each other.
  [[nodiscard]] std::optional<base::instance_id>
  follow(referral const& referral, base::instance_id const& from, base::monotonic_time now);
  /// Whether newer endpoints or rollouts are known than this update carries. A slow connection, a
  /// cut link or a paused leader can hold an update back until after later ones. Says nothing about
  /// its document.
  [[nodiscard]] bool is_outdated(update const& update) const;
  /// Records the sender of an update as the leader.
  void note_update(update const& update, base::instance_id const& from, base::monotonic_time now);
  /// Advances the known revisions of endpoints and rollouts by an update. Returns whether its
  /// registry changes connect to the known revision; if not, they are requested again.
  [[nodiscard]] bool advance(update const& update);

  /// Records the revision of the document that is in force. What an update says of it is only what
  /// its sender assumes.
  void note_document(std::uint64_t revision);

  [[nodiscard]] known_state const& known() const { return m_known; }
  /// How long ago the last update arrived, which is the least age of what is known; nothing if none
  /// has arrived.
  [[nodiscard]] std::optional<base::duration> age(base::monotonic_time now) const;
  /// Whether the leader has sent an update recently.
  [[nodiscard]] bool is_connected(base::monotonic_time now) const;
  [[nodiscard]] std::optional<base::instance_id> const& leader() const { return m_leader; }

private:
  void switch_upstream(base::monotonic_time now);
  void add_seeds_to_candidates();
  [[nodiscard]] bool is_due(base::monotonic_time now, bool is_urgent) const;
  [[nodiscard]] bool is_upstream_silent(base::monotonic_time now) const;

  options m_options;
  std::vector<base::instance_id> m_candidates;
  std::size_t m_next = 0;
  std::optional<base::instance_id> m_leader;
  base::instance_id m_upstream;
  base::monotonic_time m_last_request_at{};
  base::monotonic_time m_last_update_at{};
  base::monotonic_time m_upstream_since{};
  bool m_has_requested = false;
  bool m_lacks_reply = false;
  bool m_may_follow_referral = false;
  bool m_has_update = false;
  known_state m_known;
};

} // namespace catkinlanding::proxy
