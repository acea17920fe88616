#include <libraries/resources/plan.h>
#include <services/daemon/connections/places.h>

namespace catkinlanding::daemon::connections {

namespace {

constexpr std::chrono::milliseconds max_wait{500};
/// Connections that may wait. The others are refused at once, so that there is room to answer them.
constexpr std::size_t max_waiting = resources::max_rejected_connections / 2;

} // namespace

places::holder::holder(std::shared_ptr<places> all, open_connections::entry& entry, bool has_place)
    : m_all(std::move(all)), m_entry(entry), m_has_place(has_place) {
  ++(m_has_place ? m_all->m_taken : m_all->m_placeless);
  m_entry.set_place(m_has_place);
}

places::holder::~holder() {
  m_all->m_waiting.remove(this);
  --(m_has_place ? m_all->m_taken : m_all->m_placeless);
  if (m_all->m_taken < m_all->m_max) {
    m_all->grant_to_first();
  }
}

awaitable<bool> places::holder::wait() {
  if (m_has_place || m_all->m_waiting.size() >= max_waiting) {
    co_return m_has_place;
  }
  steady_timer wakeup(m_all->m_context);
  wakeup.expires_after(max_wait);
  m_wakeup = &wakeup;
  m_all->m_waiting.push_back(this);
  co_await wakeup.async_wait(completion);
  m_all->m_waiting.remove(this);
  m_wakeup = nullptr;
  co_return m_has_place;
}

bool places::may_wait() const {
  return m_placeless < resources::max_rejected_connections;
}

bool places::grant_to_first() {
  if (m_waiting.empty()) {
    return false;
  }
  auto& first = *m_waiting.front();
  m_waiting.pop_front();
  first.m_has_place = true;
  --m_placeless;
  ++m_taken;
  first.m_entry.set_place(true);
  first.m_wakeup->cancel();
  return true;
}

} // namespace catkinlanding::daemon::connections
