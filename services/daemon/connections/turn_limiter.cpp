#include <services/daemon/connections/turn_limiter.h>

#include <boost/asio/post.hpp>

namespace catkinlanding::daemon::connections {

awaitable<void> turn_limiter::wait() {
  if (m_started < max_per_turn && m_waiting.empty()) {
    note_started();
    co_return;
  }
  steady_timer wakeup(m_context);
  wakeup.expires_at(steady_timer::time_point::max());
  m_waiting.push_back(&wakeup);
  co_await wakeup.async_wait(completion);
}

void turn_limiter::note_started() {
  ++m_started;
  if (!std::exchange(m_is_turn_due, true)) {
    boost::asio::post(m_context, [this] { begin_turn(); });
  }
}

void turn_limiter::begin_turn() {
  m_is_turn_due = false;
  m_started = 0;
  while (!m_waiting.empty() && m_started < max_per_turn) {
    auto* const longest = m_waiting.front();
    m_waiting.pop_front();
    note_started();
    longest->cancel();
  }
}

} // namespace catkinlanding::daemon::connections
