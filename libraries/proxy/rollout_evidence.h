#pragma once

#include <libraries/proxy/rollout.h>

#include <deque>
#include <map>
#include <string>

namespace catkinlanding::proxy {

/// The statistics of both versions in a rollout.
struct version_comparison {
  answer_statistics target;
  answer_statistics old;

  version_comparison& operator+=(version_comparison const& other);
};

/// The comparison for each route of the service.
using route_comparisons = std::map<std::string, version_comparison>;

/// Collects what all entry instances report about one rollout, and tells recent answers from
/// earlier ones. Evidence stays when the instance that reported it restarts.
class rollout_evidence {
public:
  /// Adds an instance's tallies, which grow from one report to the next.
  void report(base::instance_id const& from, rollout const& rollout,
              std::vector<version_tally> const& tallies, base::monotonic_time now);

  [[nodiscard]] route_comparisons total() const;
  /// What was reported at this time or later. Reaches back at least `recent_window`.
  [[nodiscard]] route_comparisons since(base::monotonic_time time) const;

  static constexpr base::duration recent_window = std::chrono::seconds(4);

private:
  struct slice {
    base::monotonic_time began_at{};
    route_comparisons routes;
  };

  /// The latest statistics of one instance by version and route.
  using reported_statistics = std::map<std::pair<base::version_id, std::string>, answer_statistics>;

  void drop_old_slices(base::monotonic_time now);

  std::map<base::instance_id, reported_statistics> m_reported;
  /// What was reported before the first slice.
  route_comparisons m_earlier;
  std::deque<slice> m_slices;
};

} // namespace catkinlanding::proxy
