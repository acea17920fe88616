#include "engine.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace review {

namespace {

constexpr int poll_ms = 20;
constexpr milliseconds heartbeat_interval{1200};

/// Waits for bytes and appends them. Returns false at the end of the connection.
bool read_more(int socket, std::string& bytes, std::atomic<bool> const& is_stopping) {
  std::array<char, 16384> buffer{};
  pollfd entry{.fd = socket, .events = POLLIN, .revents = 0};
  while (!is_stopping) {
    if (::poll(&entry, 1, poll_ms) == 0) {
      continue;
    }
    auto const size = ::recv(socket, buffer.data(), buffer.size(), 0);
    if (size > 0) {
      bytes.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return size > 0;
  }
  return false;
}

bool is_closed(int socket) {
  char byte = 0;
  return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

std::string chunk(std::string const& bytes) {
  std::ostringstream text;
  text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return text.str();
}

/// Reads one request with its length. `bytes` holds what has arrived beyond it.
std::optional<received> read_request(int socket, std::string& bytes,
                                     std::atomic<bool> const& is_stopping) {
  std::size_t end = bytes.find("\r\n\r\n");
  for (; end == std::string::npos; end = bytes.find("\r\n\r\n")) {
    if (!read_more(socket, bytes, is_stopping)) {
      return std::nullopt;
    }
  }
  received request;
  std::istringstream lines(bytes.substr(0, end + 2));
  bytes.erase(0, end + 4);
  std::string line;
  std::getline(lines, line);
  auto const first = line.find(' ');
  request.target = line.substr(first + 1, line.find(' ', first + 1) - first - 1);
  while (std::getline(lines, line)) {
    auto const colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    auto name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of("\r ") + 1);
    request.headers[name] = value;
  }
  auto const length = std::strtoul(request.headers["content-length"].c_str(), nullptr, 10);
  while (bytes.size() < length) {
    if (!read_more(socket, bytes, is_stopping)) {
      return std::nullopt;
    }
  }
  request.body = bytes.substr(0, length);
  bytes.erase(0, length);
  return request;
}

} // namespace

engine::engine(options options, record& lines) : m_options(std::move(options)), m_lines(lines) {
  m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(m_options.port));
  ::inet_pton(AF_INET, m_options.ip.c_str(), &address.sin_addr);
  int const on = 1;
  ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  constexpr int backlog = 128;
  if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(m_listener, backlog) != 0) {
    throw std::runtime_error("an engine failed to listen");
  }
  m_acceptor = std::thread([this] { accept(); });
}

engine::~engine() {
  m_is_stopping = true;
  m_acceptor.join();
  for (auto& thread : m_threads) {
    thread.join();
  }
  ::close(m_listener);
}

std::string engine::heartbeat(std::string const& state) {
  return R"({"service":")" + m_options.service + R"(","address":")" + m_options.ip + ":" +
         std::to_string(m_options.port) + R"(","zone":")" + m_options.zone + R"(","version":")" +
         m_options.version + R"(","slots":64,"state":")" + state + R"(","cold_left_ms":0,"seq":)" +
         std::to_string(++m_sequence) + "}";
}

std::vector<std::string> engine::executed_ids() const {
  std::lock_guard const lock(m_mutex);
  return m_ids;
}

void engine::accept() {
  while (!m_is_stopping) {
    pollfd entry{.fd = m_listener, .events = POLLIN, .revents = 0};
    if (::poll(&entry, 1, poll_ms) <= 0) {
      continue;
    }
    int const socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket >= 0) {
      m_threads.emplace_back([this, socket] { serve(socket); });
    }
  }
}

void engine::serve(int socket) {
  std::string bytes;
  while (auto const request = read_request(socket, bytes, m_is_stopping)) {
    if (!answer(socket, *request)) {
      break;
    }
  }
  ::close(socket);
}

bool engine::answer(int socket, received const& request) {
  auto const header = [&](std::string const& name) {
    auto const found = request.headers.find(name);
    return found == request.headers.end() ? std::string{} : found->second;
  };
  if (request.target == "/healthz") {
    return send_all(socket, "HTTP/1.1 200 OK\r\nInstance-Id: " + m_options.id +
                                "\r\nContent-Length: 0\r\n\r\n");
  }
  if (request.target == "/api/report") {
    std::string const body =
        R"({"stage":"both","models":[],"busy":false,"seq":0,"queued":0,"running":0,)"
        R"("kv_used":0,"kv_total":1,"handles":0})";
    return send_all(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                            "Content-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  auto const id = header("attempt-id");
  auto const expected = header("expect-instance");
  if (!expected.empty() && expected != m_options.id) {
    return send_all(socket, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + id +
                                "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  }
  auto const number = m_executed++;
  {
    std::lock_guard const lock(m_mutex);
    m_ids.push_back(id);
  }
  std::string const head = "\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal-" + id + "\r\n";
  if (m_options.events > 0) {
    return stream(socket, request, head);
  }
  std::this_thread::sleep_for(m_options.work);
  bool const is_failure = number % 100 * 37 % 100 < m_fail_percent;
  std::string const body = is_failure ? "failed" : "done";
  return send_all(socket, std::string("HTTP/1.1 ") +
                              (is_failure ? "500 Internal Server Error" : "200 OK") + head +
                              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool engine::stream(int socket, received const& request, std::string const& head) {
  auto const found = request.headers.find("last-event-id");
  int const last = found == request.headers.end() ? 0 : std::atoi(found->second.c_str());
  auto const id = request.headers.contains("attempt-id") ? request.headers.at("attempt-id") : "";
  m_lines.write("engine " + m_options.id + " runs " + id +
                (last > 0 ? " after event " + std::to_string(last) : ""));
  if (!send_all(socket, "HTTP/1.1 200 OK" + head +
                            "Content-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (int number = last + 1; number <= m_options.events; ++number) {
    std::this_thread::sleep_for(m_options.event_gap);
    auto const event =
        "id: " + std::to_string(number) + "\ndata: piece-" + std::to_string(number) + "\n\n";
    if (m_is_stopping || is_closed(socket) || !send_all(socket, chunk(event))) {
      m_lines.write("engine " + m_options.id + " loses its caller of " + id + " at event " +
                    std::to_string(number) + " of " + std::to_string(m_options.events));
      return false;
    }
  }
  m_lines.write("engine " + m_options.id + " has made all events of " + id);
  return send_all(socket, "0\r\n\r\n");
}

heartbeats::heartbeats(std::vector<engine*> engines, std::vector<std::string> nodes,
                       deployment& deployment)
    : m_nodes(std::move(nodes)), m_deployment(deployment) {
  for (std::size_t i = 0; i < engines.size(); ++i) {
    m_threads.emplace_back([this, engine = engines[i], i] { run(*engine, i); });
  }
}

heartbeats::~heartbeats() {
  m_is_stopping = true;
  for (auto& thread : m_threads) {
    thread.join();
  }
}

void heartbeats::run(engine& engine, std::size_t first) {
  auto node = first % m_nodes.size();
  while (!m_is_stopping) {
    // "A 2xx response acknowledges the heartbeat if it arrives within a second. Otherwise, the next
    // node is called."
    auto const answer = m_deployment.call(
        m_nodes.at(node), "POST", "/api/Instances.Heartbeat/" + engine.id(), engine.heartbeat());
    if (answer.status / 100 != 2) {
      node = (node + 1) % m_nodes.size();
      std::this_thread::sleep_for(milliseconds(100));
      continue;
    }
    auto const until = clock::now() + heartbeat_interval;
    while (!m_is_stopping && clock::now() < until) {
      std::this_thread::sleep_for(milliseconds(poll_ms));
    }
  }
}

} // namespace review
