#include <services/daemon/socket_state.h>
#include <services/proxy/upstream_pool.h>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace catkinlanding::proxy {

namespace {

/// The part of the connections that is kept for requests that have none: one in this many.
constexpr std::size_t crowded_divisor = 10;

} // namespace

upstream_connection::upstream_connection(boost::asio::io_context& context,
                                         std::shared_ptr<upstream_totals> all)
    : totals(std::move(all)), stream(context) {
  ++totals->connections;
}

upstream_connection::~upstream_connection() {
  --totals->connections;
}

daemon::awaitable<bool> upstream_connection::open(base::duration timeout) {
  namespace asio = boost::asio;
  boost::system::error_code error;
  auto const ip = asio::ip::make_address(address.ip, error);
  if (error) {
    co_return false;
  }
  asio::ip::tcp::endpoint const target{ip, address.port};
  stream.socket().open(target.protocol(), error);
  if (error) {
    spdlog::warn("entry upstream_failed error={}", error.message());
    co_return false;
  }
  // Set before the connection is opened, so that it holds from the first byte on.
  socket_memory = totals->sockets.bound(stream.socket());
  stream.expires_after(timeout);
  auto const [failed] = co_await stream.async_connect(target, daemon::completion);
  if (failed) {
    co_return false;
  }
  stream.expires_never();
  stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return true;
}

upstream_pool::upstream_pool(options options)
    : m_options(options),
      m_totals(std::make_shared<upstream_totals>(
          upstream_totals{.sockets = daemon::connections::socket_buffers(options.socket_bytes)})) {}

std::unique_ptr<upstream_connection> upstream_pool::create(boost::asio::io_context& context) {
  if (m_totals->connections >= m_options.max_connections) {
    drop_oldest();
  }
  return std::make_unique<upstream_connection>(context, m_totals);
}

bool upstream_pool::is_crowded() const {
  auto const in_use = m_totals->connections - m_resting;
  return in_use >= m_options.max_connections - m_options.max_connections / crowded_divisor;
}

void upstream_pool::drop_oldest() {
  std::deque<idle_connection>* oldest = nullptr;
  for (auto& [key, connections] : m_idle) {
    bool const is_older =
        !connections.empty() &&
        (oldest == nullptr || connections.front().expires_at < oldest->front().expires_at);
    oldest = is_older ? &connections : oldest;
  }
  if (oldest != nullptr) {
    oldest->pop_front();
    --m_resting;
  }
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
    --m_resting;
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
    --m_resting;
  }
  connections.push_back({std::move(connection), now + timeout});
  ++m_resting;
}

void upstream_pool::sweep(base::monotonic_time now) {
  for (auto& [key, connections] : m_idle) {
    m_resting -= std::erase_if(connections,
                               [&](idle_connection const& idle) { return now >= idle.expires_at; });
  }
  std::erase_if(m_idle, [](auto const& item) { return item.second.empty(); });
}

} // namespace catkinlanding::proxy
