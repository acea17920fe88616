#include <iostream>

#include "../stand-ins-2/harness.h"

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr char const* service = "lm";
constexpr int requests_of_each_route = 20;
constexpr int events = 5;

/// The runs of each request, by its attempt id.
class run_log {
public:
  void note(std::string const& id, std::string const& engine, std::string const& model) {
    std::scoped_lock const lock(m_mutex);
    m_runs[id].push_back(engine + " (" + model + ")");
  }
  [[nodiscard]] std::vector<std::string> of(std::string const& id) const {
    std::scoped_lock const lock(m_mutex);
    auto const found = m_runs.find(id);
    return found == m_runs.end() ? std::vector<std::string>{} : found->second;
  }

private:
  mutable std::mutex m_mutex;
  std::map<std::string, std::vector<std::string>> m_runs;
};

std::string chunk(std::string const& bytes) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + bytes + "\r\n";
}

std::string event(int number) {
  auto const text = std::to_string(number);
  std::string made = "id: ";
  made.append(text).append("\ndata: piece-").append(text).append("\n\n");
  return made;
}

/// A model engine. Its small model has an opinion of its answers, as the case says.
bool answer(engine const& self, int socket, message const& received, record& log, run_log& runs) {
  auto const id = received.header("attempt-id");
  auto const model = received.header("model");
  auto const confidence = has_trouble() && model == "small" ? "20" : "90";
  log.note("engine " + self.id() + " runs " + id + " with model " + model + ", confidence " +
           confidence);
  runs.note(id, self.id(), model);
  bool is_open = send_all(
      socket, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal-" + id +
                  "\r\nConfidence: " + confidence +
                  "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int number = 1; number <= events && is_open; ++number) {
    is_open = send_all(socket, chunk(event(number)));
    std::this_thread::sleep_for(20ms);
  }
  return is_open && send_all(socket, "0\r\n\r\n");
}

/// Sends one request and returns how often it ran.
std::size_t send(deployment const& system, std::string const& route, int number, record& log,
                 run_log const& runs) {
  auto const id = route + "-" + std::to_string(number);
  auto const& entries = system.entries();
  auto const& ip = entries[static_cast<std::size_t>(number) % entries.size()];
  request const sent{.method = "POST",
                     .path = "/" + route + "/1",
                     .headers = client_headers(id, 4000) +
                                "Model: *\r\nToken-Counts: 100,50\r\nPrefix-Hash: a1:60,b2:40\r\n",
                     .body = "prompt",
                     .host = "api.example"};
  auto const status = exchange(ip, system.caller_port(), sent, 5s).status();
  auto const found = runs.of(id);
  std::string line = "request " + id + " answered " + std::to_string(status) + ", runs:";
  for (auto const& one : found) {
    line += " " + one;
  }
  log.note(line);
  return status == 0 ? 0 : found.size();
}

int run(std::string const& folder) {
  record log(folder + "/record.txt");
  run_log runs;
  deployment system(3, 2, log);
  system.start();
  auto const behaviour = [&](engine const& self, int socket, message const& received) {
    return answer(self, socket, received, log, runs);
  };
  engine const first(system, "127.0.3.1", "i-1", service, behaviour);
  engine const second(system, "127.0.3.2", "i-2", service, behaviour);
  engine const third(system, "127.0.3.3", "i-3", service, behaviour);
  std::string const models = R"(["small","large"])";
  // Neither may be repeated: a stream only if it is resumable.
  std::vector<route> const routes{
      {.name = "draft", .kind = "streaming", .service = service, .sizes = models},
      {.name = "order", .kind = "non_idempotent", .service = service, .sizes = models}};
  bool const is_started =
      system.put_config(1, config(1, routes, service), 20s) && system.await_ready(10s);
  auto const are_announced = [&] {
    return first.is_announced() && second.is_announced() && third.is_announced();
  };
  for (auto const end = clock::now() + 5s; !are_announced() && clock::now() < end;) {
    std::this_thread::sleep_for(50ms);
  }
  if (!is_started || !are_announced()) {
    return exit_not_run;
  }
  std::this_thread::sleep_for(1s);
  int once = 0;
  int repeated = 0;
  for (auto const& one : routes) {
    for (int number = 0; number < requests_of_each_route; ++number) {
      auto const count = send(system, one.name, number, log, runs);
      once += count == 1 ? 1 : 0;
      repeated += count > 1 ? 1 : 0;
    }
  }
  log.note("requests that ran once: " + std::to_string(once) +
           ", more than once: " + std::to_string(repeated));
  if (repeated > 0) {
    log.note("BROKEN: requests that are not idempotent ran more than once");
    return exit_broken;
  }
  return once > 0 ? exit_held : exit_not_run;
}

} // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: case FOLDER\n";
    return exit_not_run;
  }
  return run(argv[1]);
}
