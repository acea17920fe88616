#include <services/daemon/connections/accept_loop.h>
#include <services/daemon/connections/socket_buffers.h>
#include <services/daemon/coroutine.h>
#include <services/daemon/frame_transport.h>
#include <services/daemon/keep_alive.h>
#include <services/daemon/socket_state.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>

namespace catkinlanding::daemon {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using asio::ip::udp;

/// Fits into one IP packet at the usual MTUs, so that datagrams are not fragmented.
constexpr std::size_t max_datagram_size = 1200;
constexpr std::size_t max_frame_size = 64 * 1024 * 1024;
/// Of the memory for frames that wait to be sent, one recipient may have this part of what is free.
constexpr std::size_t queue_memory_divisor = 4;
/// Frames are read in chunks of at most this size, and of no more than has arrived before, so that
/// a forged length takes no memory.
constexpr std::size_t chunk_size = 256 * 1024;
constexpr std::size_t min_chunk_size = 4 * 1024;
constexpr std::chrono::seconds connect_timeout{1};
/// Limits the transfer of each chunk in both directions. Between frames a connection may be idle.
constexpr std::chrono::seconds chunk_timeout{10};
/// A connection whose bytes stay unacknowledged for this long is closed. Otherwise, after a network
/// partition, its frames would wait for the next TCP retransmission, which may come seconds after
/// the partition has healed.
constexpr std::chrono::milliseconds unacknowledged_timeout{1000};
/// The recipient keeps a connection that rests for longer, so that frames aren't sent into one
/// which it has closed. The timeout for unacknowledged bytes ends the probes, whatever their
/// number.
constexpr keep_alive_options probes{.idle_time = std::chrono::seconds(30),
                                    .interval = std::chrono::seconds(1),
                                    .max_unanswered = 3};
/// Limits the rate of warnings, so that invalid traffic doesn't flood the log.
constexpr std::chrono::seconds warning_interval{1};
constexpr std::size_t length_prefix_size = sizeof(std::uint32_t);

std::string add_length_prefix(std::string bytes) {
  std::array<unsigned char, length_prefix_size> length{};
  boost::endian::store_little_u32(length.data(), static_cast<std::uint32_t>(bytes.size()));
  bytes.insert(bytes.begin(), length.begin(), length.end());
  return bytes;
}

} // namespace

void set_peer_socket_options(tcp_socket& socket) {
  using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  boost::system::error_code error;
  socket.set_option(tcp::no_delay(true), error);
  socket.set_option(user_timeout(static_cast<int>(unacknowledged_timeout.count())), error);
  if (error) {
    spdlog::warn("peers: can't set the timeout for unacknowledged bytes: {}", error.message());
  }
  set_keep_alive(socket, probes);
}

frame_transport::frame_transport(asio::io_context& context, sockets sockets,
                                 std::map<base::instance_id, base::address> const& peers,
                                 handler on_frame, resources::peer_plan const& bounds)
    : m_context(context), m_on_frame(std::move(on_frame)),
      m_datagrams(std::move(sockets.datagrams)), m_acceptor(std::move(sockets.acceptor)),
      m_inbound_connections(
          {.max_connections = bounds.max_inbound, .frame_bytes = bounds.frame_bytes}),
      m_max_outbound(bounds.max_outbound),
      m_queue_memory(
          {.max_bytes = bounds.queue_bytes, .free_memory_divisor = queue_memory_divisor}) {
  for (auto const& [id, address] : peers) {
    boost::system::error_code error;
    auto const ip = asio::ip::make_address(address.ip, error);
    if (error) {
      spdlog::error("peers: the address {} of {} is not an IP address", address.ip, id.value);
      continue;
    }
    m_peers[id] = {ip, address.port};
  }
  spawn(m_context, "peers", receive_datagrams());
  spawn(m_context, "peers",
        connections::accept_all(m_context, m_acceptor, "peers", [this](tcp_socket socket) {
          if (auto accepted = m_inbound_connections.add(std::move(socket))) {
            spawn(m_context, "peers", serve(std::move(accepted)));
          }
        }));
}

void frame_transport::send(base::instance_id const& to, std::string bytes,
                           bool needs_new_connection) {
  auto const peer = m_peers.find(to);
  if (peer == m_peers.end()) {
    spdlog::warn("peers: no address is known for {}", to.value);
    return;
  }
  if (needs_new_connection) {
    replace_connection(to);
  }
  if (bytes.size() > max_datagram_size) {
    send_over_connection(to, std::move(bytes));
    return;
  }
  // If the send buffer is full the datagram is lost, which the protocols tolerate.
  boost::system::error_code ignored;
  m_datagrams.send_to(asio::buffer(bytes),
                      udp::endpoint{peer->second.address(), peer->second.port()}, 0, ignored);
}

awaitable<void> frame_transport::receive_datagrams() {
  std::array<char, 64 * 1024> buffer{};
  udp::endpoint sender;
  while (m_datagrams.is_open()) {
    auto const [error, size] =
        co_await m_datagrams.async_receive_from(asio::buffer(buffer), sender, completion);
    if (error) {
      co_await pause_accepting(m_context);
    } else {
      deliver({buffer.data(), size}, &sender);
    }
  }
}

awaitable<void>
frame_transport::serve(std::shared_ptr<inbound_connections::connection> connection) {
  try {
    while (co_await read_frame(*connection)) {
      m_inbound_connections.note_frame_ended(*connection);
    }
  } catch (std::exception const& exception) {
    spdlog::error("peers: an unhandled exception closed a connection: {}", exception.what());
  }
  m_inbound_connections.remove(*connection);
}

awaitable<bool> frame_transport::read_frame(inbound_connections::connection& connection) {
  auto& stream = connection.stream;
  std::array<unsigned char, length_prefix_size> length{};
  stream.expires_never();
  auto const [length_error, length_size] =
      co_await asio::async_read(stream, asio::buffer(length), completion);
  if (length_error) {
    co_return false;
  }
  inbound_connections::note_frame_begun(connection);
  std::size_t const size = boost::endian::load_little_u32(length.data());
  if (size > max_frame_size) {
    log_unreadable("a frame exceeds the size limit", size);
    co_return false;
  }
  std::string bytes;
  while (bytes.size() < size) {
    auto const received = bytes.size();
    auto const next = std::min(size, received + std::clamp(received, min_chunk_size, chunk_size));
    if (!m_inbound_connections.try_hold(connection, next)) {
      log_unreadable("frames exceed the memory for them; one of", size);
      co_return false;
    }
    bytes.resize(next);
    stream.expires_after(chunk_timeout);
    auto const [error, read] = co_await asio::async_read(
        stream, asio::buffer(bytes.data() + received, bytes.size() - received), completion);
    if (error) {
      log_unreadable("a frame is incomplete", received + read);
      co_return false;
    }
  }
  co_return deliver(bytes, nullptr);
}

void frame_transport::replace_connection(base::instance_id const& to) {
  auto const found = m_connections.find(to);
  if (found == m_connections.end() || !found->second->has_sent) {
    return;
  }
  auto const replaced = std::move(found->second);
  m_connections.erase(found);
  if (!replaced->is_writing) {
    replaced->stream.close();
  }
}

void frame_transport::send_over_connection(base::instance_id const& to, std::string bytes) {
  if (!m_connections.contains(to) && m_connections.size() >= m_max_outbound &&
      !drop_resting_connection()) {
    log_dropped(to, 1);
    return;
  }
  auto& entry = m_connections[to];
  if (entry == nullptr) {
    entry = std::make_shared<connection>(m_context, m_queue_memory);
  }
  if (!make_room(to, *entry, bytes.size())) {
    log_dropped(to, 1);
    return;
  }
  entry->queue.push_back(add_length_prefix(std::move(bytes)));
  if (!entry->is_writing) {
    entry->is_writing = true;
    spawn(m_context, "peers", write_frames(to, entry));
  }
}

bool frame_transport::drop_resting_connection() {
  auto const resting =
      std::ranges::find_if(m_connections, [](auto const& one) { return !one.second->is_writing; });
  if (resting == m_connections.end()) {
    return false;
  }
  resting->second->stream.close();
  m_connections.erase(resting);
  return true;
}

bool frame_transport::make_room(base::instance_id const& to, connection& connection,
                                std::size_t bytes) {
  auto& memory = connection.memory;
  std::size_t dropped = 0;
  bool has_room = memory.try_resize(memory.bytes() + bytes);
  while (!has_room && !connection.queue.empty()) {
    auto const freed = connection.queue.front().size() - length_prefix_size;
    connection.queue.pop_front();
    // A smaller share is always allowed.
    static_cast<void>(memory.try_resize(memory.bytes() - freed));
    ++dropped;
    has_room = memory.try_resize(memory.bytes() + bytes);
  }
  if (dropped > 0) {
    log_dropped(to, dropped);
  }
  return has_room;
}

awaitable<bool> frame_transport::connect(base::instance_id to,
                                         std::shared_ptr<connection> connection) {
  auto& stream = connection->stream;
  if (stream.socket().is_open()) {
    if (state_of(stream.socket()) != socket_state::closed) {
      co_return true;
    }
    stream.close();
  }
  stream.expires_after(connect_timeout);
  auto const [error] = co_await stream.async_connect(m_peers.at(to), completion);
  if (error) {
    log_lost(to, *connection, "connect");
    co_return false;
  }
  set_peer_socket_options(stream.socket());
  co_return true;
}

awaitable<void> frame_transport::write_frames(base::instance_id to,
                                              std::shared_ptr<connection> connection) {
  if (!co_await connect(to, connection)) {
    remove_connection(to, connection);
    co_return;
  }
  auto& stream = connection->stream;
  while (!connection->queue.empty()) {
    auto const frame = std::move(connection->queue.front());
    connection->queue.pop_front();
    for (std::size_t sent = 0; sent < frame.size();) {
      auto const chunk = std::min(frame.size() - sent, chunk_size);
      stream.expires_after(chunk_timeout);
      auto const [error, size] =
          co_await asio::async_write(stream, asio::buffer(frame.data() + sent, chunk), completion);
      if (error) {
        log_lost(to, *connection, "write");
        remove_connection(to, connection);
        co_return;
      }
      sent += size;
    }
    auto& memory = connection->memory;
    static_cast<void>(memory.try_resize(memory.bytes() - (frame.size() - length_prefix_size)));
    connection->has_sent = true;
    stream.expires_never();
  }
  connection->is_writing = false;
}

void frame_transport::set_peer_address(base::instance_id const& instance,
                                       base::address const& address) {
  boost::system::error_code error;
  auto const ip = asio::ip::make_address(address.ip, error);
  if (error) {
    log_unreadable("received an instance address that is not an IP address", 0);
    return;
  }
  tcp::endpoint const endpoint{ip, address.port};
  auto& known = m_peers[instance];
  if (known != endpoint) {
    known = endpoint;
    m_connections.erase(instance);
  }
}

void frame_transport::drop_connection(base::instance_id const& to) {
  auto const found = m_connections.find(to);
  if (found == m_connections.end()) {
    return;
  }
  auto const dropped = std::move(found->second);
  m_connections.erase(found);
  dropped->stream.close();
}

bool frame_transport::deliver(std::string_view bytes, udp::endpoint const* sender) {
  auto const report_sender = [&](base::instance_id const& from) {
    if (sender != nullptr && m_peers.size() < max_peers) {
      m_peers.try_emplace(from, sender->address(), sender->port());
    }
  };
  bool is_readable = false;
  try {
    is_readable = m_on_frame(bytes, report_sender);
  } catch (std::exception const& exception) {
    // The frames after it are received all the same.
    spdlog::error("peers: processing a message failed: {}", exception.what());
    return true;
  }
  if (!is_readable) {
    log_unreadable("can't decode a message", bytes.size());
  }
  return is_readable;
}

void frame_transport::remove_connection(base::instance_id const& to,
                                        std::shared_ptr<connection> const& connection) {
  auto const it = m_connections.find(to);
  // The address may have changed meanwhile, and the entry be a newer connection.
  if (it != m_connections.end() && it->second == connection) {
    m_connections.erase(it);
  }
}

void frame_transport::log_unreadable(char const* what, std::size_t bytes) {
  ++m_unreadable_frames;
  auto const now = std::chrono::steady_clock::now();
  if (now < m_next_warning) {
    return;
  }
  m_next_warning = now + warning_interval;
  spdlog::warn("peers: {}, {} bytes; {} invalid frames since the start", what, bytes,
               m_unreadable_frames);
}

void frame_transport::log_lost(base::instance_id const& to, connection const& connection,
                               char const* reason) {
  ++m_lost_connections;
  auto const now = std::chrono::steady_clock::now();
  if (now < m_next_loss_line) {
    return;
  }
  m_next_loss_line = now + warning_interval;
  spdlog::warn("peers connection_lost to={} reason={} frames={} bytes={} total={}", to.value,
               reason, connection.queue.size(), connection.memory.bytes(), m_lost_connections);
}

void frame_transport::log_dropped(base::instance_id const& to, std::size_t frames) {
  m_dropped_frames += frames;
  auto const now = std::chrono::steady_clock::now();
  if (now < m_next_drop_line) {
    return;
  }
  m_next_drop_line = now + warning_interval;
  spdlog::warn("peers frames_dropped to={} total={}", to.value, m_dropped_frames);
}

} // namespace catkinlanding::daemon
