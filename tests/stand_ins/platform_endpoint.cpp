#include <tests/stand_ins/platform_endpoint.h>

#include <arpa/inet.h>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/flat_static_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <chrono>
#include <optional>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace catkinlanding::testing {

namespace {

namespace http = boost::beast::http;

constexpr int last_event_number = 5;
/// Names no request.
constexpr std::string_view rejection =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
constexpr std::chrono::milliseconds poll_interval{10};
/// The unit in which endless answers are sent, and where they end if nobody closes the connection.
constexpr std::size_t flood_block_bytes = 64 * 1024;
constexpr std::size_t max_flood_bytes = 256 * 1024 * 1024;

bool send_all(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    auto const sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

std::string header(received_request const& request, std::string const& name) {
  auto const found = request.headers.find(name);
  return found == request.headers.end() ? "" : found->second;
}

std::string response_head(received_request const& request, std::string const& status) {
  return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + header(request, "Attempt-Id") +
         "\r\nResponse-Seal: seal-" + header(request, "Attempt-Id") + "\r\n";
}

std::string with_body(std::string const& start, std::string const& body) {
  return start + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(std::string const& bytes) {
  std::ostringstream text;
  text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return text.str();
}

std::string event(int number) {
  return "id: " + std::to_string(number) + "\ndata: event-" + std::to_string(number) + "\n\n";
}

/// Whether the peer has closed the connection.
bool is_closed(int socket) {
  char byte = 0;
  return ::recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) == 0;
}

/// Reads one request. Returns nothing if the connection ends, the request is malformed or
/// `is_stopping` becomes true. `pending` holds bytes that were received but not yet parsed.
std::optional<received_request> read_request(int socket, std::string& pending,
                                             std::atomic<bool> const& is_stopping) {
  http::request_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  parser.eager(true);
  std::array<char, 16 * 1024> piece{};
  while (!parser.is_done()) {
    if (!pending.empty()) {
      boost::system::error_code error;
      auto const used = parser.put(boost::asio::buffer(pending), error);
      pending.erase(0, used);
      if (error && error != http::error::need_more) {
        return std::nullopt;
      }
      if (parser.is_done()) {
        break;
      }
    }
    pollfd waiting{.fd = socket, .events = POLLIN, .revents = 0};
    while (::poll(&waiting, 1, static_cast<int>(poll_interval.count())) == 0) {
      if (is_stopping) {
        return std::nullopt;
      }
    }
    auto const size = ::recv(socket, piece.data(), piece.size(), 0);
    if (size <= 0) {
      return std::nullopt;
    }
    pending.append(piece.data(), static_cast<std::size_t>(size));
  }
  auto const& message = parser.get();
  received_request request{.method = std::string(message.method_string()),
                           .target = std::string(message.target()),
                           .body = message.body(),
                           .headers = {},
                           .arrived_at = std::chrono::steady_clock::now()};
  for (auto const& field : message) {
    request.headers[std::string(field.name_string())] = std::string(field.value());
  }
  return request;
}

} // namespace

platform_endpoint::platform_endpoint(std::string ip, int port, std::string id)
    : m_ip(std::move(ip)), m_port(port), m_id(std::move(id)),
      m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, m_ip.c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(m_port));
  int const on = 1;
  ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  constexpr int backlog = 64;
  bool const is_listening =
      ::bind(m_listener, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0 &&
      ::listen(m_listener, backlog) == 0;
  if (!is_listening) {
    throw std::runtime_error("the endpoint failed to listen on " + this->address());
  }
  m_acceptor = std::thread([this] { accept(); });
}

platform_endpoint::~platform_endpoint() {
  m_is_stopping = true;
  m_is_released = true;
  m_acceptor.join();
  for (auto& thread : m_threads) {
    thread.join();
  }
  ::close(m_listener);
}

std::vector<received_request> platform_endpoint::executed_requests() const {
  std::scoped_lock const lock(m_mutex);
  return m_executed_requests;
}

std::vector<std::chrono::steady_clock::time_point> platform_endpoint::arrivals() const {
  std::scoped_lock const lock(m_mutex);
  return m_arrivals;
}

void platform_endpoint::add_to_answers(std::string header_lines) {
  std::scoped_lock const lock(m_mutex);
  m_added_lines = std::move(header_lines);
}

std::string platform_endpoint::added_lines() const {
  std::scoped_lock const lock(m_mutex);
  return m_added_lines;
}

void platform_endpoint::accept() {
  while (!m_is_stopping) {
    pollfd waiting{.fd = m_listener, .events = POLLIN, .revents = 0};
    if (::poll(&waiting, 1, static_cast<int>(poll_interval.count())) <= 0) {
      continue;
    }
    int const socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket >= 0) {
      m_threads.emplace_back([this, socket] { serve(socket); });
    }
  }
}

void platform_endpoint::serve(int socket) {
  std::string pending;
  bool repeats_rejection = false;
  while (auto const request = read_request(socket, pending, m_is_stopping)) {
    bool const is_repeated = !repeats_rejection || send_all(socket, rejection);
    if (!is_repeated || !answer(socket, *request)) {
      break;
    }
    repeats_rejection = request->target.ends_with("/shed-twice");
  }
  ::close(socket);
}

bool platform_endpoint::answer(int socket, received_request const& request) {
  auto const behaviour = request.target.substr(request.target.rfind('/') + 1);
  {
    std::scoped_lock const lock(m_mutex);
    m_arrivals.push_back(request.arrived_at);
  }
  if (header(request, "Expect-Instance") != m_id) {
    return send_all(
        socket, with_body("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + m_id + "\r\n", ""));
  }
  if (behaviour == "shed-twice") {
    return send_all(socket, rejection);
  }
  bool const is_continuation = !header(request, "Last-Event-Id").empty();
  bool const is_large = header(request, "Model") == "large";
  if (behaviour == "shed" || (behaviour == "slow-stream-shed" && is_continuation) ||
      (behaviour == "small-stream" && is_large)) {
    return send_all(
        socket,
        with_body("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + added_lines(), ""));
  }
  {
    std::scoped_lock const lock(m_mutex);
    m_executed_requests.push_back(request);
  }
  if (behaviour == "fail") {
    return send_all(
        socket,
        with_body(response_head(request, "500 Internal Server Error") + added_lines(), "failed"));
  }
  if (behaviour == "cut") {
    send_all(socket, response_head(request, "200 OK") + "Content-Length: 100\r\n\r\nonly a part");
    return false;
  }
  if (behaviour == "cut-header-field") {
    send_all(socket, response_head(request, "200 OK") + "Content-Len");
    return false;
  }
  if (behaviour == "cut-header-line") {
    send_all(socket, response_head(request, "200 OK") + "Content-Length: 0\r\n");
    return false;
  }
  if (behaviour == "unsealed") {
    return send_all(
        socket,
        with_body("HTTP/1.1 200 OK\r\nAttempt-Id: " + header(request, "Attempt-Id") + "\r\n", "x"));
  }
  if (behaviour == "other") {
    return send_all(
        socket,
        with_body("HTTP/1.1 200 OK\r\nAttempt-Id: someone\r\nResponse-Seal: s\r\n", "theirs"));
  }
  static std::atomic<int> continuations = 0;
  bool is_hanging = false;
  if (behaviour == "breaking-stream-hang-once" && is_continuation) {
    is_hanging = continuations++ == 0;
  }
  if (is_hanging || behaviour == "hang" || (behaviour == "slow-stream-hang" && is_continuation) ||
      (behaviour == "small-stream-hang" && is_large)) {
    while (!m_is_stopping && !is_closed(socket)) {
      std::this_thread::sleep_for(poll_interval);
    }
    m_saw_cancellation = m_saw_cancellation || !m_is_stopping;
    return false;
  }
  if (behaviour.starts_with("endless-")) {
    return answer_endlessly(socket, request, behaviour);
  }
  if (behaviour.find("stream") != std::string::npos) {
    return stream(socket, request, behaviour);
  }
  return send_all(
      socket, with_body(response_head(request, "200 OK") + added_lines(), "echo " + request.body));
}

void platform_endpoint::flood(int socket, std::string const& beginning, std::string_view rest) {
  std::string block;
  while (block.size() < flood_block_bytes) {
    block += rest;
  }
  bool is_open = send_all(socket, beginning);
  for (std::size_t sent = 0; is_open && sent < max_flood_bytes && !m_is_stopping;) {
    is_open = send_all(socket, block);
    sent += block.size();
    m_endless_bytes += is_open ? block.size() : 0;
  }
}

bool platform_endpoint::answer_endlessly(int socket, received_request const& request,
                                         std::string const& behaviour) {
  auto const head = response_head(request, "200 OK");
  std::string const chunked = "Transfer-Encoding: chunked\r\n\r\n";
  if (behaviour == "endless-interim") {
    flood(socket, "", "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n");
  } else if (behaviour == "endless-header") {
    flood(socket, head + "X-Filler: ", "0123456789abcdef");
  } else if (behaviour == "endless-failure") {
    flood(socket, response_head(request, "500 Internal Server Error") + "\r\n", "no answer ");
  } else if (behaviour == "endless-stale") {
    flood(socket, "", "HTTP/1.1 200 OK\r\nAttempt-Id: x\r\nContent-Length: 1\r\n\r\nx");
  } else if (behaviour == "endless-chunk") {
    flood(socket, head + chunked + "5;extension=", "0123456789abcdef");
  } else if (behaviour == "endless-event") {
    flood(socket, head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "never ");
  } else {
    flood(socket, head + "\r\n", "no answer ");
  }
  return false;
}

void platform_endpoint::trickle(int socket) {
  constexpr std::chrono::milliseconds byte_interval{100};
  bool is_open = send_all(socket, chunk("id: 2\ndata: "));
  while (is_open && !m_is_stopping) {
    std::this_thread::sleep_for(byte_interval);
    is_open = !is_closed(socket) && send_all(socket, chunk("x"));
  }
}

bool platform_endpoint::stream(int socket, received_request const& request,
                               std::string const& behaviour) {
  auto const from = header(request, "Last-Event-Id");
  int const first = from.empty() ? 1 : std::stoi(from) + 1;
  std::string const broken = "broken-stream";
  if (behaviour.starts_with(broken + "-") && !from.empty()) {
    return send_all(
        socket, with_body(response_head(request, behaviour.substr(broken.size() + 1) + " Failure"),
                          "no stream"));
  }
  bool const is_doubtful =
      header(request, "Model") == "small" && !behaviour.starts_with("slow-stream");
  std::string const confidence = is_doubtful ? "Confidence: 10\r\n" : "";
  if (!send_all(socket,
                response_head(request, "200 OK") + added_lines() + confidence +
                    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (int number = first; number <= last_event_number; ++number) {
    if (behaviour == "trickling-stream" && from.empty() && number == 2) {
      trickle(socket);
      return false;
    }
    if (behaviour.starts_with(broken) && from.empty() && number == 3) {
      // A complete HTTP chunk that holds an incomplete event.
      send_all(socket, chunk(event(number).substr(0, 9)));
      return false;
    }
    bool const is_breaking = behaviour == "breaking-stream-hang-once" && from.empty();
    bool const waits = behaviour.starts_with("slow-stream") || is_breaking;
    while (waits && number > 1 && !m_is_released) {
      std::this_thread::sleep_for(poll_interval);
    }
    bool const is_cut = is_breaking && number > 1;
    if (is_cut || !send_all(socket, chunk(event(number)))) {
      return false;
    }
  }
  return send_all(socket, "0\r\n\r\n");
}

} // namespace catkinlanding::testing
