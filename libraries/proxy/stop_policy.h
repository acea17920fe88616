#pragma once

#include <libraries/base/time.h>

#include <optional>

namespace catkinlanding::proxy {

/// Decides what an instance that stops still begins: only what is expected to end before the
/// instance does. A request that is refused costs its caller a connection to another instance; one
/// that is begun and cut costs it the answer.
class stop_policy {
public:
  /// A request that may begin, or be sent once more.
  struct work {
    /// What its whole answer takes at most, as far as answers of its kind have shown; empty if
    /// none has come.
    std::optional<base::duration> learned;
    /// For how long the attempt of the same kind has run that began first; zero if none runs.
    base::duration under_way{};
    /// When its caller or its route ends it in any case.
    base::monotonic_time deadline{};
  };

  /// The instance stops: its last answers end by this time.
  void stop_at(base::monotonic_time deadline) { m_deadline = deadline; }
  [[nodiscard]] bool is_stopping() const { return m_deadline.has_value(); }
  /// The deadline, or the time by which the last answers end if it is earlier.
  [[nodiscard]] base::monotonic_time limit(base::monotonic_time deadline) const;

  /// What the whole answer is expected to take; empty if unknown. What was learned in quick times
  /// does not hold if attempts that run now have taken longer already.
  [[nodiscard]] static std::optional<base::duration> expected_time(work const& work);
  /// The last moment at which it may begin: the end of time if the stop does not matter to it, its
  /// beginning if what it takes is unknown.
  [[nodiscard]] base::monotonic_time latest_begin(work const& work) const;
  [[nodiscard]] bool may_begin(work const& work, base::monotonic_time now) const {
    return now <= latest_begin(work);
  }

private:
  std::optional<base::monotonic_time> m_deadline;
};

} // namespace catkinlanding::proxy
