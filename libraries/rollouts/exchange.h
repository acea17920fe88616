#pragma once

#include <libraries/rollouts/collector.h>
#include <libraries/rollouts/reporter.h>

#include <vector>

namespace catkinlanding::rollouts {

/// Aggregates the counts of answers in two levels: each instance reports to one control instance,
/// which reports the sum to the leader. Sums are never forwarded again, which rules out loops.
class exchange {
public:
  struct options {
    base::instance_id self;
    std::uint64_t incarnation = 0;
    /// Whether this instance has the control role.
    bool is_control = false;
  };

  /// The instances to report to; empty while unknown.
  struct receivers {
    /// The control instance that aggregates, possibly this instance itself.
    base::instance_id control;
    base::instance_id leader;
  };

  explicit exchange(options options);

  /// Sends the reports on the watched versions that are due. `own` holds the counts of this
  /// instance since its start.
  void tick(std::vector<version_key> const& watched, tallies const& own, receivers const& receivers,
            base::monotonic_time now, effects& out);
  void receive(base::instance_id const& from, report const& report, base::monotonic_time now);

  /// The totals of the whole deployment, as far as reports reached this instance.
  [[nodiscard]] collector const& evidence() const { return m_deployment; }

private:
  void send(base::instance_id const& to, report report, base::monotonic_time now, effects& out);

  options m_options;
  reporter m_own_reports;
  reporter m_zone_reports;
  collector m_zone;
  collector m_deployment;
};

} // namespace catkinlanding::rollouts
