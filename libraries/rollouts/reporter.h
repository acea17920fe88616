#pragma once

#include <libraries/base/time.h>
#include <libraries/rollouts/message.h>

#include <optional>

namespace catkinlanding::rollouts {

/// Numbers the reports of one instance and schedules them.
class reporter {
public:
  struct options {
    report_scope scope = report_scope::instance;
    /// Grows with each start of the instance.
    std::uint64_t incarnation = 0;
    base::duration interval = std::chrono::seconds(1);
  };

  explicit reporter(options options) : m_options(options) {}

  /// Whether a report to this receiver is due.
  [[nodiscard]] bool is_due(base::instance_id const& receiver, base::monotonic_time now) const;

  /// Returns the next report. A change of the receiver starts a new stream, so that no two
  /// receivers count the same answers.
  [[nodiscard]] report next(base::instance_id const& receiver, tallies counts,
                            base::monotonic_time now);

private:
  options m_options;
  base::instance_id m_receiver;
  std::uint64_t m_stream = 0;
  std::uint64_t m_sequence = 0;
  base::monotonic_time m_due{};
};

} // namespace catkinlanding::rollouts
