#pragma once

#include <libraries/base/identifier.h>
#include <libraries/base/time.h>

#include <vector>

namespace catkinlanding::limits {

/// Selects the instance to request shares from: the first in order of preference, the next one when
/// it does not answer, and the first again after an interval.
class share_source {
public:
  struct options {
    /// Relays of this availability zone, in order of preference.
    std::vector<base::instance_id> relays;
    /// Used when no relay answers. Of these only the leader answers.
    std::vector<base::instance_id> control_instances;
    /// Time after a failover until the first relay is tried again.
    base::duration return_interval = std::chrono::seconds(10);
  };

  explicit share_source(options options);

  /// The instance to send the next request to; null if none is known.
  [[nodiscard]] base::instance_id const* next(base::monotonic_time now);

  void note_answer() { m_is_answered = true; }

private:
  options m_options;
  /// The relays, followed by the control instances.
  std::vector<base::instance_id> m_sources;
  std::size_t m_current = 0;
  bool m_is_answered = true;
  base::monotonic_time m_return_due{};
};

} // namespace catkinlanding::limits
