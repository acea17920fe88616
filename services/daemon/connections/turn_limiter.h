#pragma once

#include <services/daemon/coroutine.h>

#include <cstddef>
#include <deque>

namespace catkinlanding::daemon::connections {

/// Lets a few connections go on in each turn of the event loop, those first that have waited
/// longest. For requests that arrive before the answer to the one before is read: a crowd of
/// callers that send them in a row would otherwise take up the whole turn, and those who wait for
/// their answers would get a small part of the processor. It delays nobody while turns are short.
class turn_limiter {
public:
  explicit turn_limiter(boost::asio::io_context& context) : m_context(context) {}
  ~turn_limiter() = default;
  turn_limiter(turn_limiter const&) = delete;
  turn_limiter& operator=(turn_limiter const&) = delete;

  /// Waits until the caller of this function may go on.
  [[nodiscard]] awaitable<void> wait();
  [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }

  static constexpr std::size_t max_per_turn = 16;

private:
  /// Counts a start, and makes the next turn begin after what is ready now.
  void note_started();
  void begin_turn();

  boost::asio::io_context& m_context;
  std::deque<steady_timer*> m_waiting;
  std::size_t m_started = 0;
  bool m_is_turn_due = false;
};

} // namespace catkinlanding::daemon::connections
