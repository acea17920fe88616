#pragma once

#include <libraries/proxy/message.h>

#include <optional>

namespace catkinlanding::proxy {

/// Watches whether what is sent to an instance arrives, by the revisions that it says it holds.
/// Frames that a connection takes, and even those that its other end acknowledges, may still be
/// lost.
class delivery_monitor {
public:
  struct options {
    /// A revision that the instance doesn't hold this long after it was sent is taken for lost.
    /// Longer than an instance takes to say what it holds.
    base::duration timeout = std::chrono::milliseconds(500);
  };

  explicit delivery_monitor(options options) : m_options(options) {}

  /// Records that an update was sent after which the instance holds this state.
  void note_sent(known_state const& state, base::monotonic_time now);
  /// Records what the instance says it holds.
  void note_known(known_state const& known);
  /// Whether something that was sent seems to be lost. What was sent until now is not watched any
  /// more after that.
  [[nodiscard]] bool try_take_loss(base::monotonic_time now);
  /// Forgets what was sent, as the instance has started anew.
  void reset();

private:
  /// One of the revisions that make up a state.
  class revision {
  public:
    void note_sent(std::uint64_t number, base::monotonic_time now);
    void note_known(std::uint64_t number);
    /// Whether the instance lacks a number that was sent this long ago.
    [[nodiscard]] bool is_overdue(base::duration timeout, base::monotonic_time now) const;
    void reset();

  private:
    struct sent_number {
      std::uint64_t number = 0;
      base::monotonic_time sent_at{};
    };

    std::uint64_t m_known = 0;
    /// The first and the last number that were sent and that the instance lacks.
    std::optional<sent_number> m_first;
    std::optional<sent_number> m_last;
  };

  /// Forgets the numbers of the registry if they belong to an earlier term.
  void enter_term(std::uint64_t term);

  options m_options;
  revision m_document;
  revision m_registry;
  revision m_rollouts;
  /// The term that the numbers of the registry belong to.
  std::uint64_t m_registry_term = 0;
};

} // namespace catkinlanding::proxy
