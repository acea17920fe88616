#pragma once

#include <libraries/base/time.h>
#include <libraries/rollouts/message.h>

#include <cstddef>
#include <map>

namespace catkinlanding::rollouts {

/// Sums the reports of many senders and counts each answer at most once. Answers from before a
/// sender's first report here, or from while it reported to another receiver, are left out.
class collector {
public:
  struct options {
    std::size_t max_senders = 2048;
    std::size_t max_versions = 256;
  };

  collector() = default;
  explicit collector(options options) : m_options(options) {}

  void receive(base::instance_id const& from, report const& report, base::monotonic_time now);

  /// The sums since this collector was made.
  [[nodiscard]] tallies const& totals() const { return m_totals; }
  [[nodiscard]] tally total(version_key const& key) const;

private:
  struct sender {
    report_stamp stamp;
    tallies counts;
    base::monotonic_time last_report{};
  };

  void add(tallies const& before, tallies const& after);
  void evict_oldest_sender();

  options m_options;
  std::map<base::instance_id, sender> m_senders;
  tallies m_totals;
};

/// Subtracts `before` from `after` field by field; negative results become zero.
[[nodiscard]] tally difference(tally const& after, tally const& before);

} // namespace catkinlanding::rollouts
