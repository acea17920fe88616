#include <tests/stand_ins/stalling_endpoint.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <map>
#include <poll.h>
#include <stdexcept>
#include <unistd.h>

namespace catkinlanding::testing {

namespace {

constexpr int backlog = 4096;
constexpr int poll_interval_ms = 10;
constexpr std::size_t block_bytes = 64 * 1024;
constexpr std::string_view end_of_head = "\r\n\r\n";

/// What an answer begins with after its status line and the headers that name its request, and what
/// is repeated after that.
struct endless_part {
  std::string status = "200 OK";
  std::string beginning;
  std::string repeated;
};

std::map<std::string, endless_part> const& endless_parts() {
  static std::string const chunked = "Transfer-Encoding: chunked\r\n\r\n";
  static std::string const failed = "500 Internal Server Error";
  static std::map<std::string, endless_part> const parts{
      {"header", {.beginning = "X-Filler: ", .repeated = "0123456789abcdef"}},
      {"fields", {.repeated = "a: b\r\n"}},
      {"failure", {.status = failed, .beginning = "\r\n", .repeated = "no answer "}},
      {"failure-header", {.status = failed, .beginning = "X-Filler: ", .repeated = "0123456789"}},
      {"chunk", {.beginning = chunked + "5;extension=", .repeated = "0123456789abcdef"}},
      {"trailer", {.beginning = chunked + "1\r\nx\r\n0\r\nX-Filler: ", .repeated = "0123456789"}},
      {"event",
       {.beginning = "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", .repeated = "never "}},
      {"events",
       {.beginning = "Content-Type: text/event-stream\r\n\r\n", .repeated = "id: 1\ndata: x\n\n"}},
      {"body", {.beginning = "\r\n", .repeated = "no answer "}}};
  return parts;
}

std::string value_of(std::string const& head, std::string const& name) {
  auto const found = head.find("\r\n" + name + ": ");
  if (found == std::string::npos) {
    return {};
  }
  auto const begin = found + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string behaviour_of(std::string const& head) {
  auto const target_end = head.find(' ', head.find(' ') + 1);
  auto const begin = head.rfind('/', target_end) + 1;
  return head.substr(begin, target_end - begin);
}

} // namespace

stalling_endpoint::stalling_endpoint(options options)
    : m_options(std::move(options)),
      m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, m_options.ip.c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(m_options.port));
  int const on = 1;
  ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  bool const is_listening =
      ::bind(m_listener, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0 &&
      ::listen(m_listener, backlog) == 0;
  if (!is_listening) {
    throw std::runtime_error("the endpoint failed to listen on " + this->address());
  }
  m_thread = std::thread([this] { run(); });
}

stalling_endpoint::~stalling_endpoint() {
  m_is_stopping = true;
  m_thread.join();
  for (auto const& connection : m_connections) {
    ::close(connection.socket);
  }
  ::close(m_listener);
}

std::string stalling_endpoint::address() const {
  return m_options.ip + ":" + std::to_string(m_options.port);
}

void stalling_endpoint::run() {
  std::vector<pollfd> waiting;
  while (!m_is_stopping) {
    waiting.assign(1, {.fd = m_listener, .events = POLLIN, .revents = 0});
    for (auto const& connection : m_connections) {
      bool const has_unsent = !connection.unsent.empty() || connection.filler_left > 0;
      auto const events = static_cast<short>(has_unsent ? POLLIN | POLLOUT : POLLIN);
      waiting.push_back({.fd = connection.socket, .events = events, .revents = 0});
    }
    if (::poll(waiting.data(), waiting.size(), poll_interval_ms) <= 0) {
      continue;
    }
    for (std::size_t i = 0; i < m_connections.size(); ++i) {
      auto const events = waiting.at(i + 1).revents;
      if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
        receive(m_connections[i]);
      }
      if ((events & POLLOUT) != 0) {
        send_some(m_connections[i]);
      }
    }
    std::erase_if(m_connections,
                  [](connection const& one) { return one.is_closed && ::close(one.socket) == 0; });
    accept_all();
  }
}

void stalling_endpoint::accept_all() {
  while (true) {
    int const socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (socket < 0) {
      return;
    }
    m_connections.push_back({.socket = socket});
  }
}

void stalling_endpoint::receive(connection& connection) {
  std::array<char, 4096> piece{};
  auto const size = ::recv(connection.socket, piece.data(), piece.size(), 0);
  if (size <= 0) {
    connection.is_closed = true;
    return;
  }
  connection.received.append(piece.data(), static_cast<std::size_t>(size));
  auto const end = connection.received.find(end_of_head);
  if (end != std::string::npos) {
    ++m_requests;
    begin_answer(connection, connection.received.substr(0, end + 2));
    connection.received.erase(0, end + end_of_head.size());
  }
}

void stalling_endpoint::begin_answer(connection& connection, std::string const& head) const {
  auto const behaviour = behaviour_of(head);
  auto const id = value_of(head, "Attempt-Id");
  auto const names = "\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal-" + id + "\r\n";
  auto const found = endless_parts().find(behaviour);
  if (found != endless_parts().end()) {
    auto const& part = found->second;
    connection.unsent = "HTTP/1.1 " + part.status + names + part.beginning;
    while (connection.filler.size() < block_bytes) {
      connection.filler += part.repeated;
    }
    connection.filler_left = m_options.bytes;
    return;
  }
  if (behaviour == "interim") {
    connection.filler =
        "HTTP/1.1 103 Early Hints\r\nLink: <" + std::string(1024, 'a') + ">\r\n\r\n";
    connection.filler_left = m_options.bytes;
    return;
  }
  connection.unsent = "HTTP/1.1 200 OK" + names + "Content-Length: 5\r\n\r\nwhole";
}

void stalling_endpoint::send_some(connection& connection) {
  std::string_view bytes = connection.unsent;
  bool const is_filler = bytes.empty();
  if (is_filler) {
    bytes = std::string_view(connection.filler)
                .substr(connection.filler_offset)
                .substr(0, connection.filler_left);
  }
  auto const sent = ::send(connection.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (sent < 0) {
    connection.is_closed = connection.is_closed || errno != EAGAIN;
    return;
  }
  auto const count = static_cast<std::size_t>(sent);
  m_sent_bytes += count;
  if (is_filler) {
    connection.filler_left -= count;
    connection.filler_offset = (connection.filler_offset + count) % connection.filler.size();
  } else {
    connection.unsent.erase(0, count);
  }
}

} // namespace catkinlanding::testing
