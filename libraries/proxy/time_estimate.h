#pragma once

#include <libraries/base/time.h>

#include <cstdint>
#include <optional>

namespace catkinlanding::proxy {

/// The smoothed mean and deviation of a duration, kept as TCP keeps those of its round-trip time
/// (RFC 6298).
class time_estimate {
public:
  void add(base::duration sample);
  /// Adds a duration that was not waited for: the whole one is longer.
  void add_unfinished(base::duration sample);
  /// Records that something took so long that it was given up. What is usual may have changed, so
  /// each of these doubles what counts as too long until the next sample.
  void back_off();

  /// What the duration usually is; empty before the first sample.
  [[nodiscard]] std::optional<base::duration> usual() const { return m_mean; }
  /// What the duration exceeds only if something is wrong: at least twice what is usual, as giving
  /// up costs the usual time once more, and what is usual beside a pause of this instance. Empty
  /// before the first sample.
  [[nodiscard]] std::optional<base::duration> longest_usual() const;
  /// The shortest finished sample; empty before the first one.
  [[nodiscard]] std::optional<base::duration> shortest() const { return m_shortest; }

private:
  void smooth(base::duration sample);

  std::optional<base::duration> m_mean;
  std::optional<base::duration> m_shortest;
  base::duration m_deviation{};
  std::uint32_t m_doublings = 0;
};

} // namespace catkinlanding::proxy
