#include <tests/support/raw_connection.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace catkinlanding::testing {

namespace {

sockaddr_in address_of(int port, std::string const& ip) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

} // namespace

raw_connection::raw_connection(int port, std::string const& ip)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  auto const address = address_of(port, ip);
  if (::connect(m_socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) != 0) {
    ::close(m_socket);
    m_socket = -1;
  }
}

raw_connection::~raw_connection() {
  ::close(m_socket);
}

bool raw_connection::send(std::string_view bytes) const {
  while (!bytes.empty()) {
    auto const sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

std::size_t raw_connection::send_within(std::string_view bytes,
                                        std::chrono::milliseconds max_pause) const {
  std::size_t total = 0;
  while (total < bytes.size()) {
    pollfd waiting{.fd = m_socket, .events = POLLOUT, .revents = 0};
    if (::poll(&waiting, 1, static_cast<int>(max_pause.count())) <= 0) {
      break;
    }
    auto const sent =
        ::send(m_socket, bytes.data() + total, bytes.size() - total, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent <= 0) {
      break;
    }
    total += static_cast<std::size_t>(sent);
  }
  return total;
}

void raw_connection::finish_sending() const {
  ::shutdown(m_socket, SHUT_WR);
}

std::string raw_connection::read_until(std::string_view text,
                                       std::chrono::milliseconds timeout) const {
  auto const end = std::chrono::steady_clock::now() + timeout;
  std::string received;
  std::array<char, 64 * 1024> piece{};
  while (text.empty() || received.find(text) == std::string::npos) {
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    pollfd waiting{.fd = m_socket, .events = POLLIN, .revents = 0};
    if (left.count() <= 0 || ::poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
      break;
    }
    auto const size = ::recv(m_socket, piece.data(), piece.size(), 0);
    if (size <= 0) {
      break;
    }
    received.append(piece.data(), static_cast<std::size_t>(size));
  }
  return received;
}

bool raw_connection::is_closed() const {
  std::array<char, 4096> piece{};
  ssize_t size = 0;
  do {
    size = ::recv(m_socket, piece.data(), piece.size(), MSG_DONTWAIT);
  } while (size > 0);
  return size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void send_datagram(int port, std::string_view bytes, std::string const& ip) {
  int const socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  auto const address = address_of(port, ip);
  ::sendto(socket, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr const*>(&address),
           sizeof(address));
  ::close(socket);
}

} // namespace catkinlanding::testing
