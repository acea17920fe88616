#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <poll.h>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

/// What the scripts of the review share: a small deployment of the project's programs on loopback
/// addresses, and stand-ins for engines, clients and the operator that follow the platform's pages.
namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

/// Whether the disruption of the case takes place.
inline bool has_trouble() {
  char const* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// The record of a run: one line for each thing that was sent, answered or run.
class record {
public:
  explicit record(std::string const& path) : m_file(path) {}

  void note(std::string const& line) {
    std::scoped_lock const lock(m_mutex);
    auto const elapsed = std::chrono::duration_cast<milliseconds>(clock::now() - m_begun_at);
    m_file << elapsed.count() << " ms  " << line << std::endl;
  }

private:
  std::mutex m_mutex;
  std::ofstream m_file;
  clock::time_point m_begun_at = clock::now();
};

/// A process that this program has started. It is killed when the object ends.
class child {
public:
  child(std::vector<std::string> const& arguments, std::string const& settings,
        std::string const& log) {
    std::string const variable = "CATKINLANDING_SETTINGS=" + settings;
    char const* const path = std::getenv("PATH");
    std::string const search = std::string("PATH=") + (path == nullptr ? "" : path);
    m_id = ::fork();
    if (m_id != 0) {
      return;
    }
    int const output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    std::vector<char*> pointers;
    for (auto const& argument : arguments) {
      pointers.push_back(const_cast<char*>(argument.c_str()));
    }
    pointers.push_back(nullptr);
    std::array<char*, 3> environment{const_cast<char*>(variable.c_str()),
                                     const_cast<char*>(search.c_str()), nullptr};
    ::execve(pointers[0], pointers.data(), environment.data());
    ::_exit(127);
  }
  child(child const&) = delete;
  child& operator=(child const&) = delete;
  ~child() { kill(); }

  void send_signal(int signal) const {
    if (m_id > 0) {
      ::kill(m_id, signal);
    }
  }
  void kill() {
    if (m_id > 0) {
      ::kill(m_id, SIGKILL);
      ::waitpid(m_id, nullptr, 0);
      m_id = -1;
    }
  }
  /// Whether the process has ended by itself.
  [[nodiscard]] bool has_ended() {
    bool const is_over = m_id > 0 && ::waitpid(m_id, nullptr, WNOHANG) == m_id;
    m_id = is_over ? -1 : m_id;
    return is_over;
  }

private:
  pid_t m_id = -1;
};

inline sockaddr_in address_of(std::string const& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline bool can_bind(int type, int port) {
  int const socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  auto const address = address_of("0.0.0.0", port);
  bool const is_free =
      ::bind(socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0;
  ::close(socket);
  return is_free;
}

/// A port that is free at all addresses, below those that the system gives to connections. Each
/// call returns another one.
inline int free_port() {
  constexpr int first = 10000;
  constexpr int count = 20000;
  static int next = static_cast<int>(::getpid() * 37L % count);
  int port = 0;
  do {
    port = first + next;
    next = (next + 1) % count;
  } while (!can_bind(SOCK_STREAM, port) || !can_bind(SOCK_DGRAM, port));
  return port;
}

/// Connects within the time. Returns -1 if that fails.
inline int connect_to(std::string const& ip, int port, milliseconds timeout) {
  int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto const address = address_of(ip, port);
  ::connect(socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address));
  pollfd waiting{.fd = socket, .events = POLLOUT, .revents = 0};
  int error = 0;
  socklen_t size = sizeof(error);
  bool const is_ready = ::poll(&waiting, 1, static_cast<int>(timeout.count())) > 0;
  ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
  if (!is_ready || error != 0) {
    ::close(socket);
    return -1;
  }
  ::fcntl(socket, F_SETFL, 0);
  int const on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

inline bool send_all(int socket, std::string const& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    auto const size = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

/// A request or an answer.
struct message {
  /// The request line or the status line.
  std::string first_line;
  /// By names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  /// The status of an answer; 0 if there is none.
  [[nodiscard]] int status() const {
    auto const space = first_line.find(' ');
    return space == std::string::npos ? 0 : std::atoi(first_line.c_str() + space + 1);
  }
  [[nodiscard]] std::string header(std::string const& name) const {
    auto const found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  [[nodiscard]] std::string path() const {
    auto const begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
};

/// Reads messages from a socket, one after another.
class reader {
public:
  explicit reader(int socket) : m_socket(socket) {}

  /// Reads a whole message. Returns nothing if the connection or the time ends before.
  [[nodiscard]] std::optional<message> read(clock::time_point deadline) {
    auto const end = read_until("\r\n\r\n", deadline);
    if (!end) {
      return std::nullopt;
    }
    auto made = parse(m_pending.substr(0, *end));
    m_pending.erase(0, *end);
    bool const is_whole = made.header("transfer-encoding") == "chunked"
                              ? read_chunks(made.body, deadline)
                              : read_length(made, deadline);
    return is_whole ? std::optional(std::move(made)) : std::nullopt;
  }

private:
  static message parse(std::string const& text) {
    message made;
    std::size_t begin = 0;
    for (auto end = text.find("\r\n"); end != std::string::npos && end != begin;
         begin = end + 2, end = text.find("\r\n", begin)) {
      auto const line = text.substr(begin, end - begin);
      auto const colon = line.find(':');
      if (begin == 0 || colon == std::string::npos) {
        made.first_line = line;
        continue;
      }
      auto name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char one) { return static_cast<char>(std::tolower(one)); });
      auto const value = line.find_first_not_of(' ', colon + 1);
      made.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    return made;
  }

  bool receive(clock::time_point deadline) {
    auto const left = std::chrono::duration_cast<milliseconds>(deadline - clock::now()).count();
    pollfd waiting{.fd = m_socket, .events = POLLIN, .revents = 0};
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    std::array<char, 16 * 1024> bytes{};
    auto const size = ::recv(m_socket, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      return false;
    }
    m_pending.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
  }

  /// Returns the offset behind the text.
  std::optional<std::size_t> read_until(std::string const& text, clock::time_point deadline) {
    auto found = m_pending.find(text);
    while (found == std::string::npos) {
      if (!receive(deadline)) {
        return std::nullopt;
      }
      found = m_pending.find(text);
    }
    return found + text.size();
  }

  bool read_bytes(std::string& body, std::size_t size, clock::time_point deadline) {
    while (m_pending.size() < size) {
      if (!receive(deadline)) {
        return false;
      }
    }
    body += m_pending.substr(0, size);
    m_pending.erase(0, size);
    return true;
  }

  bool read_length(message& made, clock::time_point deadline) {
    auto const length = std::strtoul(made.header("content-length").c_str(), nullptr, 10);
    return read_bytes(made.body, length, deadline);
  }

  bool read_chunks(std::string& body, clock::time_point deadline) {
    while (true) {
      auto const end = read_until("\r\n", deadline);
      if (!end) {
        return false;
      }
      auto const size = std::strtoul(m_pending.c_str(), nullptr, 16);
      m_pending.erase(0, *end);
      std::string line_end;
      if (!read_bytes(body, size, deadline) || !read_bytes(line_end, 2, deadline)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
  }

  int m_socket;
  std::string m_pending;
};

struct request {
  std::string method = "GET";
  std::string path = "/";
  /// Header lines, each with its line end, without Host and Content-Length.
  std::string headers;
  std::string body;
  std::string host = "platform.example";
};

/// Sends a request on a connection of its own. Returns an answer without a status if none came
/// whole.
inline message exchange(std::string const& ip, int port, request const& sent,
                        milliseconds timeout) {
  int const socket = connect_to(ip, port, milliseconds(1000));
  if (socket < 0) {
    return {};
  }
  auto const text = sent.method + " " + sent.path + " HTTP/1.1\r\nHost: " + sent.host + "\r\n" +
                    sent.headers + "Content-Length: " + std::to_string(sent.body.size()) +
                    "\r\n\r\n" + sent.body;
  reader answers(socket);
  std::optional<message> answer;
  if (send_all(socket, text)) {
    answer = answers.read(clock::now() + timeout);
  }
  ::close(socket);
  return answer.value_or(message{});
}

/// The project's programs as processes, started by the commands of the deploy file. All ports are
/// the same at all addresses.
class deployment {
public:
  deployment(std::size_t controls, std::size_t entries, record& record) : m_record(record) {
    auto pattern = (std::filesystem::temp_directory_path() / "review.XXXXXX").string();
    m_folder = ::mkdtemp(pattern.data());
    for (std::size_t i = 1; i <= controls; ++i) {
      m_controls.push_back("127.0.1." + std::to_string(i));
    }
    for (std::size_t i = 1; i <= entries; ++i) {
      m_entries.push_back("127.0.2." + std::to_string(i));
    }
  }
  deployment(deployment const&) = delete;
  deployment& operator=(deployment const&) = delete;
  ~deployment() {
    m_processes.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
  }

  [[nodiscard]] std::vector<std::string> const& controls() const { return m_controls; }
  [[nodiscard]] std::vector<std::string> const& entries() const { return m_entries; }
  [[nodiscard]] int caller_port() const { return m_caller_port; }
  [[nodiscard]] int call_port() const { return m_call_port; }

  /// Starts all processes for the first time.
  void start() {
    for (auto const& ip : m_controls) {
      start_control(ip, true);
    }
    for (auto const& ip : m_entries) {
      start_process(ip, "entry", false);
    }
  }
  void start_control(std::string const& ip, bool is_first_start) {
    start_process(ip, "control", is_first_start);
  }
  void start_entry(std::string const& ip) { start_process(ip, "entry", false); }
  [[nodiscard]] child& process(std::string const& ip) { return *m_processes.at(ip); }
  void kill(std::string const& ip) {
    m_record.note("process " + ip + " is killed");
    m_processes.at(ip)->kill();
  }
  /// The machine of the process, which has been killed, loses its disk.
  void lose_disk(std::string const& ip) {
    m_record.note("disk of " + ip + " is lost");
    std::filesystem::remove_all(data_folder(ip));
  }

  /// A call to a control instance; follows a redirect, as callers of the platform do.
  [[nodiscard]] message call(std::string const& ip, request const& sent) const {
    auto const timeout = milliseconds(1000);
    auto answer = exchange(ip, m_call_port, sent, timeout);
    constexpr int max_redirects = 2;
    constexpr int redirect = 307;
    for (int i = 0; i < max_redirects && answer.status() == redirect; ++i) {
      auto const location = answer.header("location");
      auto const begin = location.find("//") + 2;
      auto const other = location.substr(begin, location.find(':', begin) - begin);
      answer = exchange(other, m_call_port, sent, timeout);
    }
    return answer;
  }

  /// Sends a configuration to one instance after another until it is acknowledged. Returns whether
  /// it was, within the time.
  [[nodiscard]] bool put_config(int version, std::string const& config, milliseconds time) const {
    request const sent{
        .method = "POST", .path = "/api/Config.Put", .headers = json_header, .body = config};
    auto const name = "config " + std::to_string(version);
    for (auto const end = clock::now() + time; clock::now() < end;) {
      for (auto const& ip : m_controls) {
        auto const status = call(ip, sent).status();
        constexpr int ok = 200;
        if (status == ok) {
          m_record.note(name + " acknowledged by way of " + ip);
          return true;
        }
        m_record.note(name + " sent to " + ip + ", status " + std::to_string(status));
      }
      std::this_thread::sleep_for(milliseconds(200));
    }
    return false;
  }

  struct config_read {
    int status = 0;
    /// 0 unless the status is 200.
    int version = 0;
  };
  [[nodiscard]] config_read read_config(std::string const& ip) const {
    auto const answer = call(ip, {.method = "GET", .path = "/api/Config.Get"});
    constexpr int ok = 200;
    std::string const field = "\"version\":";
    auto const found = answer.body.find(field);
    bool const has_version = answer.status() == ok && found != std::string::npos;
    return {.status = answer.status(),
            .version = has_version ? std::atoi(answer.body.c_str() + found + field.size()) : 0};
  }

  /// Waits until all entry instances say that they are ready.
  [[nodiscard]] bool await_ready(milliseconds time) const {
    constexpr int ok = 200;
    auto const is_ready = [&](std::string const& ip) {
      request const check{.method = "GET", .path = "/api/readyz"};
      return exchange(ip, m_ready_port, check, milliseconds(1000)).status() == ok;
    };
    for (auto const end = clock::now() + time; clock::now() < end;) {
      if (std::all_of(m_entries.begin(), m_entries.end(), is_ready)) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

  static constexpr char const* json_header = "Content-Type: application/json\r\n";

private:
  [[nodiscard]] std::string data_folder(std::string const& ip) const {
    return m_folder + "/" + ip + ".data";
  }

  void start_process(std::string const& ip, std::string const& role, bool is_first_start) {
    m_record.note("process " + ip + " is started as " + role);
    auto const settings = m_folder + "/" + ip + ".json";
    std::ofstream(settings) << settings_of(ip, role == "control", is_first_start);
    m_processes.erase(ip);
    // The command of the deploy file.
    std::vector<std::string> const command{"target/services/proxy/catkinlanding-proxy", "--role",
                                           role};
    m_processes[ip] = std::make_unique<child>(command, settings, m_folder + "/" + ip + ".log");
  }

  /// What `platform/settings.template.json` gives for a machine of a small deployment.
  [[nodiscard]] std::string settings_of(std::string const& ip, bool is_control,
                                        bool is_first_start) const {
    auto const at = [&](bool is_served, int port) {
      return is_served ? "\"" + ip + ":" + std::to_string(port) + "\"" : std::string("\"\"");
    };
    constexpr std::size_t max_seeds = 3;
    std::string seeds;
    for (std::size_t i = 0; i < std::min(m_controls.size(), max_seeds); ++i) {
      seeds += (i == 0 ? "\"" : ",\"") + m_controls[i] + ":" + std::to_string(m_call_port) + "\"";
    }
    return "{\"name\":\"" + ip +
           "\",\"zone\":\"z1\",\"listeners\":{\"peers\":" + at(true, m_peer_port) +
           ",\"callers\":" + at(!is_control, m_caller_port) +
           ",\"readiness\":" + at(!is_control, m_ready_port) +
           ",\"calls\":" + at(is_control, m_call_port) +
           ",\"metrics_port\":" + std::to_string(m_metrics_port) + "},\"seeds\":[" + seeds +
           "],\"first_start\":" + (is_first_start ? "true" : "false") + ",\"data_folder\":\"" +
           (is_control ? data_folder(ip) : std::string()) +
           "\",\"files_keep_place\":false,\"replaced_answers\":\"by_capacity\",\"bounds\":{"
           "\"stop_patience_ms\":8e3,\"retry_ratio\":0.9,\"retry_slack\":58,"
           "\"retry_window_ms\":10e3,\"trial_share\":0.15,\"resend_ms\":4000,\"memory_mb\":256,"
           "\"max_descriptors\":4096,\"announcement_interval_ms\":1200}}";
  }

  record& m_record;
  std::string m_folder;
  std::vector<std::string> m_controls;
  std::vector<std::string> m_entries;
  int m_peer_port = free_port();
  int m_caller_port = free_port();
  int m_ready_port = free_port();
  int m_call_port = free_port();
  int m_metrics_port = free_port();
  std::map<std::string, std::unique_ptr<child>> m_processes;
};

/// A stand-in for an engine: it announces itself about each 1.2 s and hands requests that name it
/// to its behaviour, one at a time on each connection.
class engine {
public:
  /// Answers a request. Returns whether the connection stays open.
  using behaviour = std::function<bool(engine const&, int socket, message const&)>;

  engine(deployment& deployment, std::string ip, std::string id, std::string service,
         behaviour answer)
      : m_deployment(deployment), m_ip(std::move(ip)), m_id(std::move(id)),
        m_service(std::move(service)), m_answer(std::move(answer)),
        m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    auto const address = address_of(m_ip, m_port);
    int const on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    ::bind(m_listener, reinterpret_cast<sockaddr const*>(&address), sizeof(address));
    constexpr int backlog = 64;
    ::listen(m_listener, backlog);
    m_acceptor = std::thread([this] { accept_all(); });
    m_announcer = std::thread([this] { announce_all(); });
  }
  engine(engine const&) = delete;
  engine& operator=(engine const&) = delete;
  ~engine() {
    m_is_ending = true;
    m_acceptor.join();
    m_announcer.join();
    for (auto& thread : m_threads) {
      thread.join();
    }
    ::close(m_listener);
  }

  [[nodiscard]] std::string const& id() const { return m_id; }
  [[nodiscard]] bool is_announced() const { return m_is_announced; }
  [[nodiscard]] bool is_ending() const { return m_is_ending; }

private:
  void accept_all() {
    while (!m_is_ending) {
      pollfd waiting{.fd = m_listener, .events = POLLIN, .revents = 0};
      constexpr int poll_ms = 20;
      if (::poll(&waiting, 1, poll_ms) <= 0) {
        continue;
      }
      int const socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket >= 0) {
        m_threads.emplace_back([this, socket] { serve(socket); });
      }
    }
  }

  void serve(int socket) {
    reader requests(socket);
    bool is_open = true;
    while (is_open && !m_is_ending) {
      pollfd waiting{.fd = socket, .events = POLLIN, .revents = 0};
      constexpr int poll_ms = 20;
      if (::poll(&waiting, 1, poll_ms) <= 0) {
        continue;
      }
      auto const received = requests.read(clock::now() + std::chrono::seconds(5));
      is_open = received && handle(socket, *received);
    }
    ::close(socket);
  }

  bool handle(int socket, message const& received) {
    auto const expected = received.header("expect-instance");
    if (!expected.empty() && expected != m_id) {
      return send_all(
          socket, "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nInstance-Id: " + m_id +
                      "\r\nAttempt-Id: " + received.header("attempt-id") +
                      "\r\nContent-Length: 0\r\n\r\n");
    }
    return m_answer(*this, socket, received);
  }

  void announce_all() {
    constexpr milliseconds interval{1200};
    constexpr milliseconds first_interval{200};
    constexpr milliseconds step{20};
    while (!m_is_ending) {
      bool const is_accepted = announce();
      m_is_announced = m_is_announced || is_accepted;
      auto const end = clock::now() + (is_accepted ? interval : first_interval);
      while (!m_is_ending && clock::now() < end) {
        std::this_thread::sleep_for(step);
      }
    }
  }

  bool announce() {
    request const beat{.method = "POST",
                       .path = "/api/Instances.Heartbeat/" + m_id,
                       .headers = deployment::json_header,
                       .body = "{\"service\":\"" + m_service + "\",\"address\":\"" + m_ip + ":" +
                               std::to_string(m_port) +
                               "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,\"state\":"
                               "\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[],"
                               "\"seq\":" +
                               std::to_string(++m_sequence) +
                               ",\"born\":" + std::to_string(m_born) + "}"};
    constexpr int ok = 200;
    auto const& controls = m_deployment.controls();
    return std::any_of(controls.begin(), controls.end(), [&](std::string const& ip) {
      return !m_is_ending && m_deployment.call(ip, beat).status() == ok;
    });
  }

  deployment& m_deployment;
  std::string m_ip;
  std::string m_id;
  std::string m_service;
  behaviour m_answer;
  int m_port = free_port();
  int m_listener;
  std::int64_t m_born =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count();
  int m_sequence = 0;
  std::atomic<bool> m_is_announced = false;
  std::atomic<bool> m_is_ending = false;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
  std::thread m_announcer;
};

/// A route of a configuration, as JSON.
struct route {
  std::string name;
  std::string kind;
  std::string service;
  bool is_resumable = false;
  /// The names of the models, smallest first, as a JSON list; empty if there are none.
  std::string sizes;
  int timeout_ms = 5000;
  int max_attempts = 3;

  [[nodiscard]] std::string text() const {
    return "{\"name\":\"" + name + "\",\"host\":\"api.example\",\"path_prefix\":\"/" + name +
           "/\",\"route_kind\":\"" + kind + "\",\"timeout_ms\":" + std::to_string(timeout_ms) +
           ",\"target_latency_ms\":1000,\"target_gap_ms\":1000,\"priority\":1," +
           (sizes.empty() ? std::string() : "\"sizes\":" + sizes + ",") + "\"service\":\"" +
           service + "\",\"max_attempts\":" + std::to_string(max_attempts) +
           ",\"public\":false,\"sticky\":" + (sizes.empty() ? "false" : "true") +
           ",\"resumable\":" + (is_resumable ? "true" : "false") + "}";
  }
};

/// A configuration with one service and one tenant, whose key is `key-ann`.
inline std::string config(int version, std::vector<route> const& routes,
                          std::string const& service) {
  std::string list;
  for (auto const& one : routes) {
    list += (list.empty() ? "" : ",") + one.text();
  }
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + list +
         "],\"services\":[{\"name\":\"" + service +
         "\",\"health_path\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
         "\"tenants\":[{\"name\":\"ann\",\"api_keys\":[\"key-ann\"],\"priority\":1}]}";
}

/// The headers of a client's request.
inline std::string client_headers(std::string const& id, int deadline_ms) {
  return "Attempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer key-ann\r\n";
}

} // namespace review
