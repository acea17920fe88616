#pragma once

#include <libraries/base/time.h>

#include <optional>

namespace catkinlanding::endpoints {

/// Estimates the offset between this instance's clock and a sender's as the minimum of receive
/// minus send times over the last one to two minutes. A delayed message shows a larger difference.
class offset_estimate {
public:
  /// Adds a message and returns when it was sent, on this instance's clock. Assumes that the
  /// fastest message took no time.
  [[nodiscard]] base::monotonic_time add(base::duration sent_at, base::monotonic_time received_at);

  [[nodiscard]] bool is_known() const { return m_current.has_value(); }

private:
  /// Short enough for clock drift to stay far below a millisecond.
  static constexpr base::duration window = std::chrono::seconds(60);

  std::optional<base::duration> m_current;
  std::optional<base::duration> m_previous;
  base::monotonic_time m_window_end{};
};

} // namespace catkinlanding::endpoints
