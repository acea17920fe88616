#pragma once

#include <libraries/base/time.h>

#include <algorithm>
#include <optional>

namespace catkinlanding::proxy {

/// Measures how steadily a caller received a stream: the time to its first event, and the longest
/// pause between two deliveries, over all attempts of the request.
class stream_timing {
public:
  explicit stream_timing(base::monotonic_time began_at) : m_began_at(began_at) {}

  void note_delivery(base::monotonic_time now) {
    if (m_last_at) {
      m_longest_pause = std::max<base::duration>(m_longest_pause, now - *m_last_at);
    } else {
      m_first_event = now - m_began_at;
    }
    m_last_at = now;
  }

  /// Time from the request to its first event; empty until then.
  [[nodiscard]] std::optional<base::duration> first_event() const { return m_first_event; }
  [[nodiscard]] base::duration longest_pause() const { return m_longest_pause; }

private:
  base::monotonic_time m_began_at;
  std::optional<base::monotonic_time> m_last_at;
  std::optional<base::duration> m_first_event;
  base::duration m_longest_pause{};
};

} // namespace catkinlanding::proxy
