#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <map>
#include <set>
#include <vector>

namespace catkinlanding::voters {

/// The instances that lost their places among the voters lately, as each control instance sees it
/// in the log. The leader tells them who leads: one that returns with a new disk knows the group by
/// its seeds only, which may all be outside it.
class former_voters {
public:
  struct options {
    /// How long an instance is remembered.
    base::duration retention = std::chrono::minutes(10);
    /// How often it is told.
    base::duration interval = std::chrono::seconds(1);
    /// The number of instances that are remembered, the latest ones.
    std::size_t max_count = 64;
  };

  explicit former_voters(options options) : m_options(options) {}

  /// Records which instances have a place, to know which ones had one before.
  void note(std::set<base::instance_id> const& voters, base::monotonic_time now);
  /// The instances that are to be told who leads, if that is due.
  [[nodiscard]] std::vector<base::instance_id> take_due(base::monotonic_time now);

private:
  void drop_expired(base::monotonic_time now);
  void drop_oldest();

  options m_options;
  std::set<base::instance_id> m_voters;
  /// When they lost their places.
  std::map<base::instance_id, base::monotonic_time> m_lost_places_at;
  base::monotonic_time m_told_at{};
};

} // namespace catkinlanding::voters
