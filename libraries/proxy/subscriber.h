#pragma once

#include <libraries/proxy/message.h>

#include <optional>
#include <vector>

namespace catkinlanding::proxy {

/// A message and whom it is for.
struct outgoing {
  base::instance_id to;
  proxy::message message;
};

/// Keeps one instance up to date with the leader of the control instances: finds the leader, asks
/// it again and again, and turns to another instance when it falls silent.
class subscriber {
public:
  struct options {
    base::instance_id self;
    /// Control instances of which one at least knows the leader.
    std::vector<base::instance_id> seeds;
    base::duration interval = std::chrono::milliseconds(400);
    /// Without an answer for so long another control instance is asked.
    base::duration upstream_timeout = std::chrono::milliseconds(900);
    /// Takes the place of both while no leader is known.
    base::duration search_interval = std::chrono::milliseconds(100);
    std::uint64_t seed = 0;
  };

  explicit subscriber(options options);

  /// The settings name these from now on.
  void use_seeds(std::vector<base::instance_id> seeds);
  /// Whom to ask now; nothing while the last question is recent.
  [[nodiscard]] std::optional<base::instance_id> tick(base::monotonic_time now);
  /// Whom to ask at once, as the instance that was asked does not lead. One referral is followed
  /// between two ticks' questions, as two instances may point at each other.
  [[nodiscard]] std::optional<base::instance_id>
  follow(referral const& referral, base::instance_id const& from, base::monotonic_time now);
  /// The instance that sent an update leads.
  void note_update(update const& update, base::instance_id const& from, base::monotonic_time now);
  /// Advances the known state by an update. Returns whether the registry's part of it holds.
  [[nodiscard]] bool advance(update const& update);

  /// The document came from an instance that does not lead.
  void note_document(std::uint64_t revision);

  [[nodiscard]] known_state const& known() const { return m_known; }
  /// Whether the leader was heard from lately.
  [[nodiscard]] bool is_connected(base::monotonic_time now) const;
  [[nodiscard]] std::optional<base::instance_id> const& leader() const { return m_leader; }

private:
  void switch_upstream(base::monotonic_time now);
  void add_seeds_to_candidates();
  [[nodiscard]] bool is_due(base::monotonic_time now) const;
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
  bool m_may_follow_referral = false;
  bool m_has_update = false;
  known_state m_known;
};

} // namespace catkinlanding::proxy
