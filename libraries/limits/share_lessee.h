#pragma once

#include <libraries/limits/message.h>

#include <optional>

namespace catkinlanding::limits {

/// An entry instance's side of the leased shares: it asks for what it could use, and acts by the
/// newest grant as long as its lease runs, and by its floor alone after that.
class share_lessee {
public:
  struct options {
    base::duration interval = std::chrono::seconds(1);
    /// Requests whose answers are still waited for.
    std::size_t max_pending = 8;
    /// Greater than any sequence of an earlier start.
    std::uint64_t first_sequence = 1;
  };

  explicit share_lessee(options options)
      : m_options(options), m_next_sequence(options.first_sequence) {}

  /// The request to send now, if it is time for one.
  /// Without `confirms`, the holder goes on counting the grants before the newest one.
  [[nodiscard]] std::optional<share_request> tick(shares const& demand, base::monotonic_time now,
                                                  bool confirms_active = true);

  void receive(share_grant const& grant, base::monotonic_time now);

  /// What this instance may use beyond its floor.
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
  /// The grant that the holder was last told of.
  std::uint64_t m_confirmed_sequence = 0;
  base::monotonic_time m_lease_end{};
  shares m_shares;
};

} // namespace catkinlanding::limits
