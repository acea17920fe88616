#include <services/daemon/connections/socket_buffers.h>
#include <services/daemon/inbound_connections.h>
#include <services/daemon/keep_alive.h>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace catkinlanding::daemon {

namespace {

namespace asio = boost::asio;

/// The peer probes its end earlier and gives it up sooner, so that it opens another connection
/// rather than send a frame into one that is closed here.
constexpr keep_alive_options probes{.idle_time = std::chrono::seconds(60),
                                    .interval = std::chrono::seconds(10),
                                    .max_unanswered = 3};
/// Limits the rate of log lines while there are too many connections.
constexpr std::chrono::seconds line_interval{1};

/// Whether no byte of a frame has arrived.
bool is_resting(inbound_connections::connection const& connection) {
  boost::system::error_code error;
  return !connection.is_reading && connection.stream.socket().available(error) == 0;
}

} // namespace

void set_accepted_socket_options(tcp_socket& socket) {
  set_keep_alive(socket, probes);
  connections::bound_received_bytes(socket, resources::peer_socket_bytes);
}

inbound_connections::inbound_connections(options options)
    : m_options(options),
      m_frame_memory({.max_bytes = options.frame_bytes, .free_memory_divisor = 1}) {}

std::shared_ptr<inbound_connections::connection> inbound_connections::add(tcp_socket socket) {
  boost::system::error_code error;
  auto const peer = socket.remote_endpoint(error).address();
  if (error) {
    return nullptr;
  }
  if (m_connections.size() >= m_options.max_connections && !make_room(peer)) {
    ++m_closed;
    log_closed(peer, "too_many");
    return nullptr;
  }
  set_accepted_socket_options(socket);
  auto added = std::make_shared<connection>(std::move(socket), m_frame_memory);
  added->peer = peer;
  added->is_listed = true;
  added->place = m_connections.insert(m_connections.end(), added);
  ++m_numbers[peer];
  return added;
}

void inbound_connections::remove(connection& connection) {
  if (!std::exchange(connection.is_listed, false)) {
    return;
  }
  auto const number = m_numbers.find(connection.peer);
  if (--number->second == 0) {
    m_numbers.erase(number);
  }
  m_connections.erase(connection.place);
}

void inbound_connections::note_frame_ended(connection& connection) {
  connection.is_reading = false;
  connection.memory.release();
  if (connection.is_listed) {
    m_connections.splice(m_connections.end(), m_connections, connection.place);
  }
}

bool inbound_connections::make_room(asio::ip::address const& peer) {
  auto const held = number_of(peer);
  // A connection that is being read gives way only if its address keeps as many as the new one's
  // gets: an address can't interrupt others by opening many.
  auto closed = longest_resting(held);
  if (closed == nullptr) {
    closed = longest_read(held + 2);
  }
  if (closed == nullptr) {
    return false;
  }
  close(*closed, "too_many");
  return true;
}

bool inbound_connections::try_hold(connection& connection, std::size_t bytes) {
  bool is_held = connection.memory.try_resize(bytes);
  while (!is_held && free_memory(connection)) {
    is_held = connection.memory.try_resize(bytes);
  }
  return is_held;
}

bool inbound_connections::free_memory(connection const& requester) {
  std::map<asio::ip::address, std::size_t> held;
  for (auto const& one : m_connections) {
    held[one->peer] += one->memory.bytes();
  }
  auto const most = std::max_element(
      held.begin(), held.end(), [](auto const& a, auto const& b) { return a.second < b.second; });
  if (most == held.end() || most->second == 0) {
    return false;
  }
  std::shared_ptr<connection> largest;
  for (auto const& one : m_connections) {
    bool const is_larger = largest == nullptr || one->memory.bytes() > largest->memory.bytes();
    if (one->peer == most->first && one.get() != &requester && is_larger) {
      largest = one;
    }
  }
  bool const has_less =
      largest == nullptr || largest->memory.bytes() == 0 ||
      (largest->peer == requester.peer && largest->memory.bytes() <= requester.memory.bytes());
  if (has_less) {
    return false;
  }
  close(*largest, "memory");
  return true;
}

void inbound_connections::close(connection& closed, char const* reason) {
  ++m_closed;
  log_closed(closed.peer, reason);
  closed.memory.release();
  remove(closed);
  closed.stream.close();
}

std::shared_ptr<inbound_connections::connection>
inbound_connections::longest_resting(std::size_t least_of_address) const {
  auto const found = std::find_if(m_connections.begin(), m_connections.end(), [&](auto const& it) {
    return number_of(it->peer) >= least_of_address && is_resting(*it);
  });
  return found != m_connections.end() ? *found : nullptr;
}

std::shared_ptr<inbound_connections::connection>
inbound_connections::longest_read(std::size_t least_of_address) const {
  auto const most =
      std::max_element(m_numbers.begin(), m_numbers.end(),
                       [](auto const& a, auto const& b) { return a.second < b.second; });
  if (most == m_numbers.end() || most->second < least_of_address) {
    return nullptr;
  }
  auto const found = std::find_if(m_connections.begin(), m_connections.end(),
                                  [&](auto const& it) { return it->peer == most->first; });
  return *found;
}

std::size_t inbound_connections::number_of(asio::ip::address const& peer) const {
  auto const found = m_numbers.find(peer);
  return found != m_numbers.end() ? found->second : 0;
}

void inbound_connections::log_closed(asio::ip::address const& peer, char const* reason) {
  auto const time = std::chrono::steady_clock::now();
  if (time < m_next_line) {
    return;
  }
  m_next_line = time + line_interval;
  spdlog::warn("peers connection_closed from={} reason={} connections={} total={}",
               peer.to_string(), reason, m_connections.size(), m_closed);
}

} // namespace catkinlanding::daemon
