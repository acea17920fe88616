#include "trial.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <iostream>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr char const* program = "target/services/proxy/catkinlanding-proxy";

sockaddr_in address_of(std::string const& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string quoted(std::string const& text) {
  return "\"" + text + "\"";
}

std::string lower_case(std::string text) {
  std::ranges::transform(text, text.begin(),
                         [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

/// Reads what has arrived. Returns false at the end of the connection or of the time.
bool read_more(int socket, std::string& bytes, clock::time_point until) {
  auto const left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
  pollfd entry{.fd = socket, .events = POLLIN, .revents = 0};
  if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  std::array<char, 16384> buffer{};
  auto const size = ::recv(socket, buffer.data(), buffer.size(), 0);
  if (size <= 0) {
    return false;
  }
  bytes.append(buffer.data(), static_cast<std::size_t>(size));
  return true;
}

/// Splits a head into status and header fields.
answer parse_head(std::string const& head) {
  answer result;
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  if (line.size() > 12) {
    result.status = std::atoi(line.substr(9, 3).c_str());
  }
  while (std::getline(lines, line)) {
    auto const colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
      value.pop_back();
    }
    result.headers[lower_case(line.substr(0, colon))] = value;
  }
  return result;
}

/// Reads a body in chunks. Returns nothing if its end doesn't come.
std::optional<std::string> read_chunks(int socket, std::string bytes, clock::time_point until) {
  std::string body;
  for (;;) {
    auto const end = bytes.find("\r\n");
    if (end == std::string::npos) {
      if (!read_more(socket, bytes, until)) {
        return std::nullopt;
      }
      continue;
    }
    auto const size = std::strtoul(bytes.c_str(), nullptr, 16);
    while (bytes.size() < end + 2 + size + 2) {
      if (!read_more(socket, bytes, until)) {
        return std::nullopt;
      }
    }
    body += bytes.substr(end + 2, size);
    bytes.erase(0, end + 2 + size + 2);
    if (size == 0) {
      return body;
    }
  }
}

} // namespace

record::record(std::filesystem::path const& path) : m_file(path) {}

double record::seconds() const {
  return std::chrono::duration<double>(clock::now() - m_began).count();
}

void record::write(std::string const& line) {
  std::lock_guard const lock(m_mutex);
  std::array<char, 32> time{};
  (void)std::snprintf(time.data(), time.size(), "%8.3f  ", seconds());
  m_file << time.data() << line << std::endl;
  std::cout << time.data() << line << std::endl;
}

int free_port() {
  int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = address_of("0.0.0.0", 0);
  socklen_t size = sizeof(address);
  bool const is_bound = ::bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  ::close(socket);
  if (!is_bound) {
    throw std::runtime_error("no port is free");
  }
  return ntohs(address.sin_port);
}

int connect_to(std::string const& ip, int port, milliseconds patience) {
  int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto const address = address_of(ip, port);
  int const result =
      ::connect(socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address));
  if (result != 0 && errno == EINPROGRESS) {
    pollfd entry{.fd = socket, .events = POLLOUT, .revents = 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (::poll(&entry, 1, static_cast<int>(patience.count())) <= 0 ||
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      ::close(socket);
      return -1;
    }
  } else if (result != 0) {
    ::close(socket);
    return -1;
  }
  ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  return socket;
}

bool send_all(int socket, std::string const& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    auto const size = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

answer read_answer(int socket, clock::time_point until) {
  std::string bytes;
  auto end = bytes.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!read_more(socket, bytes, until)) {
      return {};
    }
    end = bytes.find("\r\n\r\n");
  }
  auto result = parse_head(bytes.substr(0, end + 2));
  bytes.erase(0, end + 4);
  if (lower_case(result.headers["transfer-encoding"]) == "chunked") {
    auto body = read_chunks(socket, bytes, until);
    if (!body) {
      return {};
    }
    result.body = *body;
    return result;
  }
  auto const length = std::strtoul(result.headers["content-length"].c_str(), nullptr, 10);
  while (bytes.size() < length) {
    if (!read_more(socket, bytes, until)) {
      return {};
    }
  }
  result.body = bytes.substr(0, length);
  return result;
}

answer exchange(std::string const& ip, int port, std::string const& method, std::string const& path,
                std::string const& body, std::string const& header_lines, milliseconds patience) {
  auto const until = clock::now() + patience;
  int const socket = connect_to(ip, port, patience);
  if (socket < 0) {
    return {};
  }
  auto const host = header_lines.find("Host:") == std::string::npos
                        ? "Host: " + ip + ":" + std::to_string(port) + "\r\n"
                        : std::string{};
  auto const length = body.empty() && method == "GET"
                          ? std::string{}
                          : "Content-Length: " + std::to_string(body.size()) + "\r\n";
  answer result;
  if (send_all(socket, method + " " + path + " HTTP/1.1\r\n" + host + header_lines + length +
                           "\r\n" + body)) {
    result = read_answer(socket, until);
  }
  ::close(socket);
  return result;
}

std::string read_to_end(int socket, std::string const& text, clock::time_point until) {
  std::string bytes;
  while (!bytes.ends_with(text) && read_more(socket, bytes, until)) {
  }
  return bytes;
}

deployment::deployment(std::vector<node> nodes, record& lines)
    : m_nodes(std::move(nodes)), m_lines(lines) {
  auto pattern = (std::filesystem::temp_directory_path() / "review.XXXXXX").string();
  m_folder = ::mkdtemp(pattern.data());
}

deployment::~deployment() {
  for (auto const& node : m_nodes) {
    kill(node.name);
  }
  std::filesystem::remove_all(m_folder);
}

deployment::node const& deployment::find(std::string const& name) const {
  return *std::ranges::find(m_nodes, name, &node::name);
}

std::string const& deployment::ip_of(std::string const& name) const {
  return find(name).ip;
}

// The fields of platform/settings.template.json, with the bounds of the small sites.
void deployment::write_settings(node const& node, bool is_first_start) const {
  bool const is_control = node.role == "control";
  auto const at = [&](int port) { return quoted(node.ip + ":" + std::to_string(port)); };
  std::string seeds;
  int count = 0;
  for (auto const& other : m_nodes) {
    if (other.role == "control" && count < 3) {
      seeds += (count == 0 ? "" : ",") + quoted(other.ip + ":" + std::to_string(m_call_port));
      ++count;
    }
  }
  std::string const nothing = quoted("");
  std::ofstream(m_folder / (node.name + ".json"))
      << R"({"name":)" << quoted(node.name) << R"(,"zone":)" << quoted(node.zone)
      << R"(,"listeners":{"peers":)" << at(m_peer_port) << R"(,"callers":)"
      << (is_control ? nothing : at(m_caller_port)) << R"(,"readiness":)"
      << (is_control ? nothing : at(m_ready_port)) << R"(,"calls":)"
      << (is_control ? at(m_call_port) : nothing) << R"(},"seeds":[)" << seeds
      << R"(],"first_start":)" << (is_first_start ? "true" : "false") << R"(,"data_folder":)"
      << quoted(is_control ? (m_folder / (node.name + ".data")).string() : std::string{})
      << R"(,"files_keep_place":false,"bounds":{"stop_patience_ms":8e3,"retry_ratio":0.9,)"
      << R"("retry_slack":58,"retry_window_ms":10e3,"trial_share":0.15,)"
      << R"("announcement_interval_ms":1200}})";
}

bool deployment::start(std::string const& name, bool is_first_start) {
  auto const& node = find(name);
  write_settings(node, is_first_start);
  if (node.role == "control") {
    std::filesystem::create_directories(m_folder / (name + ".data"));
  }
  auto const settings = "CATKINLANDING_SETTINGS=" + (m_folder / (name + ".json")).string();
  auto const log = (m_folder / (name + ".log")).string();
  std::string const word = "--role";
  std::array<char*, 4> arguments{const_cast<char*>(program), const_cast<char*>(word.c_str()),
                                 const_cast<char*>(node.role.c_str()), nullptr};
  std::array<char*, 2> environment{const_cast<char*>(settings.c_str()), nullptr};
  auto const parent = ::getpid();
  int const id = ::fork();
  if (id == 0) {
    // Ends with the script, also if that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(2);
    }
    int const output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execve(program, arguments.data(), environment.data());
    ::_exit(2);
  }
  if (id < 0) {
    return false;
  }
  m_ids[name] = id;
  m_lines.write("started " + name + " (" + node.role + ", " + node.ip +
                ", first start: " + (is_first_start ? "yes" : "no") + ")");
  return true;
}

void deployment::send_signal(std::string const& name, int signal) {
  auto const found = m_ids.find(name);
  if (found != m_ids.end()) {
    ::kill(found->second, signal);
  }
}

void deployment::kill(std::string const& name) {
  auto const found = m_ids.find(name);
  if (found != m_ids.end()) {
    ::kill(found->second, SIGKILL);
    ::waitpid(found->second, nullptr, 0);
    m_ids.erase(found);
  }
}

bool deployment::is_running(std::string const& name) {
  auto const found = m_ids.find(name);
  if (found == m_ids.end()) {
    return false;
  }
  if (::waitpid(found->second, nullptr, WNOHANG) == 0) {
    return true;
  }
  m_ids.erase(found);
  return false;
}

void deployment::wipe(std::string const& name) {
  std::filesystem::remove_all(m_folder / (name + ".data"));
}

void deployment::write_logs(int lines_each, std::string const& text) {
  for (auto const& node : m_nodes) {
    std::ifstream file(m_folder / (node.name + ".log"));
    std::deque<std::string> last;
    for (std::string line; std::getline(file, line);) {
      if (line.find(text) != std::string::npos) {
        last.push_back(line);
      }
      if (last.size() > static_cast<std::size_t>(lines_each)) {
        last.pop_front();
      }
    }
    for (auto const& line : last) {
      m_lines.write("log of " + node.name + ": " + line);
    }
  }
}

answer deployment::call(std::string const& name, std::string const& method, std::string const& path,
                        std::string const& body) {
  constexpr milliseconds patience{1000};
  auto ip = ip_of(name);
  int port = m_call_port;
  auto target = path;
  auto const type = body.empty() ? std::string{} : "Content-Type: application/json\r\n";
  answer result;
  for (int redirects = 0; redirects <= 2; ++redirects) {
    result = exchange(ip, port, method, target, body, type, patience);
    if (result.status != 307) {
      return result;
    }
    auto const location = result.headers["location"];
    std::array<char, 64> host{};
    if (std::sscanf(location.c_str(), "http://%63[0-9.]:%d", host.data(), &port) != 2) {
      return result;
    }
    ip = host.data();
    target = location.substr(location.find('/', 7));
  }
  return result;
}

bool deployment::is_ready(std::string const& name) {
  return exchange(ip_of(name), m_ready_port, "GET", "/api/readyz", {}, {}, milliseconds(1000))
             .status == 200;
}

bool eventually(std::function<bool()> const& is_true) {
  auto const until = clock::now() + std::chrono::seconds(20);
  while (!is_true()) {
    if (clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return true;
}

bool put_until_accepted(deployment& deployment, std::vector<std::string> const& nodes,
                        std::string const& document, record& lines) {
  std::size_t turn = 0;
  return eventually([&] {
    auto const& name = nodes.at(turn++ % nodes.size());
    auto const status = deployment.call(name, "POST", "/api/Config.Put", document).status;
    if (status != 0) {
      lines.write("Config.Put to " + name + ": " + std::to_string(status));
    }
    return status == 200;
  });
}

bool has_trouble() {
  auto const* value = std::getenv("TROUBLE");
  return value == nullptr || std::strcmp(value, "0") != 0;
}

} // namespace review
