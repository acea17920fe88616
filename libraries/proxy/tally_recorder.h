#pragma once

#include <libraries/proxy/rollout.h>

#include <optional>
#include <vector>

namespace catkinlanding::proxy {

/// Measures the time between the events of a stream while it runs.
class stream_pace {
public:
  /// Records that further events arrived. Returns the mean time between events, once for a stream,
  /// as soon as there are enough.
  [[nodiscard]] std::optional<base::duration> note_events(std::size_t count,
                                                          base::monotonic_time now);

private:
  std::optional<base::monotonic_time> m_first_at;
  /// Events that arrived after the first ones.
  std::size_t m_later_events = 0;
  bool m_is_counted = false;
};

/// Counts the answers of both versions of the services whose rollouts are being evaluated, as one
/// entry instance sees them.
class tally_recorder {
public:
  /// What an answer counts for.
  struct subject {
    base::service_id service;
    base::version_id version;
    std::string route;
  };

  /// Drops the tallies of other rollouts than this one, or all of the service if it is nullptr.
  void keep_only(base::service_id const& service, rollout const* evaluated);
  void add_answer(subject const& subject, rollout const& evaluated, base::duration first_byte);
  /// `was_counted` tells whether the answer was counted when it began.
  void add_failure(subject const& subject, rollout const& evaluated, bool was_counted);
  void add_event_interval(subject const& subject, rollout const& evaluated,
                          base::duration interval);

  [[nodiscard]] std::vector<version_tally> const& tallies() const { return m_tallies; }

private:
  [[nodiscard]] answer_statistics& statistics_for(subject const& subject, rollout const& evaluated);

  std::vector<version_tally> m_tallies;
};

} // namespace catkinlanding::proxy
