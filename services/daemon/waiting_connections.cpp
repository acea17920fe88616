#include <services/daemon/waiting_connections.h>

namespace catkinlanding::daemon {

namespace {

/// Limits the rate of log lines while there are too many connections.
constexpr std::chrono::seconds line_interval{1};

} // namespace

waiting_connections::entry::entry(waiting_connections& all, tcp_stream& stream)
    : m_all(all), m_stream(stream), m_place(all.m_entries.insert(all.m_entries.end(), this)) {}

waiting_connections::entry::~entry() {
  if (m_is_listed) {
    m_all.m_entries.erase(m_place);
  }
}

bool waiting_connections::close_longest() {
  if (m_entries.empty()) {
    return false;
  }
  auto& longest = *m_entries.front();
  m_entries.pop_front();
  longest.m_is_listed = false;
  longest.m_stream.cancel();
  ++m_closed;
  log_closed();
  return true;
}

void waiting_connections::log_closed() {
  auto const time = std::chrono::steady_clock::now();
  if (time < m_next_line) {
    return;
  }
  m_next_line = time + line_interval;
  spdlog::warn("{} connection_closed reason=too_many waiting={} total={}", m_server,
               m_entries.size(), m_closed);
}

} // namespace catkinlanding::daemon
