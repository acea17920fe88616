#include <services/daemon/socket_state.h>
#include <services/proxy/upstream_pool.h>

#include <algorithm>

namespace catkinlanding::proxy {

daemon::awaitable<bool> upstream_connection::open(base::duration timeout) {
  namespace asio = boost::asio;
  boost::system::error_code error;
  auto const ip = asio::ip::make_address(address.ip, error);
  if (error) {
    co_return false;
  }
  stream.expires_after(timeout);
  asio::ip::tcp::endpoint const target{ip, address.port};
  auto const [failed] = co_await stream.async_connect(target, daemon::completion);
  if (failed) {
    co_return false;
  }
  stream.expires_never();
  stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return true;
}

std::unique_ptr<upstream_connection> upstream_pool::acquire(base::endpoint_id const& endpoint,
                                                            base::address const& address,
                                                            base::monotonic_time now) {
  auto const found = m_idle.find({endpoint, address});
  if (found == m_idle.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  while (!connections.empty()) {
    // The most recently used connection is the least likely to be closed by the endpoint.
    auto candidate = std::move(connections.back());
    connections.pop_back();
    if (now < candidate.expires_at && daemon::state_of((*candidate.connection).stream.socket()) ==
                                          daemon::socket_state::open_without_input) {
      return std::move(candidate.connection);
    }
  }
  return nullptr;
}

void upstream_pool::release(std::unique_ptr<upstream_connection> connection,
                            base::duration endpoint_timeout, base::monotonic_time now) {
  auto timeout = m_options.idle_timeout;
  if (endpoint_timeout > base::duration::zero()) {
    timeout = std::min(timeout, endpoint_timeout - m_options.idle_margin);
  }
  if (timeout <= base::duration::zero()) {
    return;
  }
  connection->is_reused = true;
  auto& connections = m_idle[{connection->endpoint, connection->address}];
  if (connections.size() >= m_options.max_idle_per_endpoint) {
    connections.pop_front();
  }
  connections.push_back({std::move(connection), now + timeout});
}

void upstream_pool::sweep(base::monotonic_time now) {
  for (auto& [key, connections] : m_idle) {
    std::erase_if(connections, [&](idle_connection const& idle) { return now >= idle.expires_at; });
  }
  std::erase_if(m_idle, [](auto const& item) { return item.second.empty(); });
}

} // namespace catkinlanding::proxy
