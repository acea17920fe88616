#include <services/proxy/upstream_pool.h>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace catkinlanding::proxy {

namespace {

/// Whether nothing arrived on the connection: no byte, no end and no error.
bool is_quiet(upstream& connection) {
  char byte = 0;
  auto const received = ::recv(connection.stream.socket().native_handle(), &byte, sizeof(byte),
                               MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::unique_ptr<upstream> upstream_pool::take(base::endpoint_id const& endpoint,
                                              base::address const& address,
                                              base::monotonic_time now) {
  auto const found = m_idle.find({endpoint, address});
  if (found == m_idle.end()) {
    return nullptr;
  }
  auto& waiting = found->second;
  while (!waiting.empty()) {
    // The one used last has been idle for the shortest time.
    auto candidate = std::move(waiting.back());
    waiting.pop_back();
    if (now < candidate.usable_until && is_quiet(*candidate.connection)) {
      return std::move(candidate.connection);
    }
  }
  return nullptr;
}

void upstream_pool::keep(std::unique_ptr<upstream> connection, base::duration endpoint_timeout,
                         base::monotonic_time now) {
  auto idle = m_options.idle_timeout;
  if (endpoint_timeout > base::duration::zero()) {
    idle = std::min(idle, endpoint_timeout - m_options.idle_margin);
  }
  if (idle <= base::duration::zero()) {
    return;
  }
  connection->is_reused = true;
  auto& waiting = m_idle[{connection->endpoint, connection->address}];
  if (waiting.size() >= m_options.most_idle_per_endpoint) {
    waiting.pop_front();
  }
  waiting.push_back({std::move(connection), now + idle});
}

void upstream_pool::sweep(base::monotonic_time now) {
  for (auto& [key, waiting] : m_idle) {
    std::erase_if(waiting, [&](idle_connection const& one) { return now >= one.usable_until; });
  }
  std::erase_if(m_idle, [](auto const& item) { return item.second.empty(); });
}

} // namespace catkinlanding::proxy
