#include <iostream>

#include "../stand-ins-2/harness.h"

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr int first_version = 10;
constexpr int second_version = 20;
constexpr char const* service = "desk";
/// New machines count as lost for `catch_up_s` after their start.
constexpr auto catch_up = 6s;
/// How long the two machines are down, at most 7 s in the sheets.
constexpr auto time_before_change = 5s;
constexpr auto down_time = 6500ms;
/// The platform's bounds: `ack_ms`, `config_apply_ms`, and `recovery_s`.
constexpr auto ack_bound = 5000ms;
constexpr auto apply_bound = 2500ms;
constexpr auto recovery_bound = 15s;
/// The operator reads repeatedly for at least `contact_ms`.
constexpr auto read_time = 20s;
constexpr auto read_interval = 500ms;

struct outcome {
  int newest = 0;
  int oldest = 0;
};

/// Reads the configuration at all control instances, again and again.
outcome read_back(deployment& system, record& log) {
  outcome found;
  for (auto const end = clock::now() + read_time; clock::now() < end;) {
    std::string line = "read back:";
    for (auto const& ip : system.controls()) {
      auto const read = system.read_config(ip);
      line += " " + ip + " " + std::to_string(read.status);
      if (read.version != 0) {
        line += " version " + std::to_string(read.version);
        found.newest = std::max(found.newest, read.version);
        found.oldest = found.oldest == 0 ? read.version : std::min(found.oldest, read.version);
      }
    }
    log.note(line);
    std::this_thread::sleep_for(read_interval);
  }
  return found;
}

/// The acknowledged change is on the disks of the three machines that run. Two of them lose their
/// disks, which is what the deployment tolerates, and all five machines come back.
void disrupt(deployment& system, std::vector<std::string> const& absent,
             clock::time_point went_down) {
  std::vector<std::string> const wiped{system.controls()[0], system.controls()[1]};
  for (auto const& ip : wiped) {
    system.kill(ip);
    system.lose_disk(ip);
  }
  std::this_thread::sleep_until(went_down + down_time);
  for (auto const& ip : absent) {
    system.start_control(ip, false);
  }
  for (auto const& ip : wiped) {
    system.start_control(ip, false);
  }
}

int run(std::string const& folder) {
  record log(folder + "/record.txt");
  deployment system(5, 2, log);
  auto const answer = [&log](engine const& self, int socket, message const& received) {
    auto const id = received.header("attempt-id");
    log.note("engine " + self.id() + " runs " + id);
    return send_all(socket, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                                "\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok");
  };
  system.start();
  std::vector<route> const routes{{.name = "stock", .kind = "idempotent", .service = service}};
  engine const first(system, "127.0.3.1", "i-1", service, answer);
  engine const second(system, "127.0.3.2", "i-2", service, answer);
  bool const is_started =
      system.put_config(first_version, config(first_version, routes, service), 20s) &&
      system.await_ready(10s);
  if (!is_started) {
    return exit_not_run;
  }
  std::this_thread::sleep_for(catch_up);

  std::vector<std::string> const absent{system.controls()[3], system.controls()[4]};
  auto const went_down = clock::now();
  if (has_trouble()) {
    for (auto const& ip : absent) {
      system.kill(ip);
    }
  }
  std::this_thread::sleep_until(went_down + time_before_change);
  if (!system.put_config(second_version, config(second_version, routes, service), ack_bound)) {
    return exit_not_run;
  }
  auto const acknowledged_at = clock::now();
  if (has_trouble()) {
    disrupt(system, absent, went_down);
  }
  std::this_thread::sleep_until(std::max(acknowledged_at + apply_bound, clock::now()));
  std::this_thread::sleep_for(recovery_bound);
  auto const found = read_back(system, log);
  for (auto const& ip : system.entries()) {
    auto const id = "after-" + ip;
    auto const status = exchange(ip, system.caller_port(),
                                 {.method = "GET",
                                  .path = "/stock/1",
                                  .headers = client_headers(id, 1500),
                                  .host = "api.example"},
                                 2s)
                            .status();
    log.note("request " + id + " answered " + std::to_string(status));
  }
  bool const is_kept = found.newest >= second_version && found.oldest >= second_version;
  log.note(is_kept ? "held: the acknowledged configuration is read back"
                   : "BROKEN: configuration " + std::to_string(second_version) +
                         " was acknowledged and is not read back (newest read: " +
                         std::to_string(found.newest) + ")");
  return is_kept ? exit_held : exit_broken;
}

} // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: case FOLDER\n";
    return exit_not_run;
  }
  return run(argv[1]);
}
