#pragma once

#include <libraries/base/time.h>
#include <libraries/rollouts/message.h>

#include <cstddef>
#include <map>

namespace catkinlanding::rollouts {

/// Sums the reports of many senders. Each answer is counted once at most: what a sender saw before
/// its first report here, or while it reported to somebody else, is left out.
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

/// What the one tally has beyond the other; zero where it has less.
[[nodiscard]] tally difference(tally const& after, tally const& before);

} // namespace catkinlanding::rollouts
