#pragma once

#include <libraries/limits/message.h>

#include <optional>

namespace catkinlanding::limits {

/// The client side of leased shares: requests shares by demand and uses the newest grant until its
/// lease ends. After that, only the floor is left.
class share_lessee {
public:
  struct options {
    base::duration interval = std::chrono::seconds(1);
    /// Maximum number of unanswered requests that are tracked.
    std::size_t max_pending = 8;
    /// Must be greater than any sequence used before the restart.
    std::uint64_t first_sequence = 1;
  };

  explicit share_lessee(options options)
      : m_options(options), m_next_sequence(options.first_sequence) {}

  /// The request to send now, if one is due. Without `confirms_active` it does not confirm the
  /// active grant, so that the allocator goes on counting the earlier ones.
  [[nodiscard]] std::optional<share_request> tick(shares const& demand, base::monotonic_time now,
                                                  bool confirms_active = true);

  void receive(share_grant const& grant, base::monotonic_time now);

  /// The share that this instance may use beyond its floor.
  [[nodiscard]] std::uint64_t share_of(share_key const& key, base::monotonic_time now) const;

  [[nodiscard]] bool is_due(base::monotonic_time now) const { return now >= m_due; }
  /// The end of the newest grant's lease.
  [[nodiscard]] base::monotonic_time lease_end() const { return m_lease_end; }

private:
  options m_options;
  std::uint64_t m_next_sequence = 1;
  base::monotonic_time m_due{};
  /// When each unanswered request was sent.
  std::map<std::uint64_t, base::monotonic_time> m_pending;
  std::uint64_t m_active_sequence = 0;
  /// The sequence of the grant last confirmed to the allocator.
  std::uint64_t m_confirmed_sequence = 0;
  base::monotonic_time m_lease_end{};
  shares m_shares;
};

} // namespace catkinlanding::limits
