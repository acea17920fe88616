// A rollout is rolled back. Later all processes of the core are killed and are back at once. The
// operator then orders the same version again, with repaired engines; the order is acknowledged,
// and the day ends with the kill of all processes. Read back, the order has to be there.
#include <atomic>
#include <csignal>
#include <memory>
#include <thread>

#include "../support/engine.h"
#include "../support/trial.h"

namespace {

using review::clock;
using review::milliseconds;
using review::verdict;
using std::chrono::seconds;

constexpr int duration_s = 12;
/// From the roll-back to the second order. The operator resends an order for `ack_ms`, 4 s, at
/// most, so that this one is no repetition.
constexpr seconds between_orders{18};
/// "All processes of the core may be killed at the same moment and be back within a second".
constexpr milliseconds down_time{700};
/// From the restart of the core to the second order: more than `contact_ms`.
constexpr milliseconds calm_time{3500};
/// From the return after the final fault to the last read: more than `recovery_s`.
constexpr seconds read_time{16};

std::vector<std::string> const cores{"core-1", "core-2", "core-3"};
std::vector<std::string> const edges{"edge-1", "edge-2"};

std::string document() {
  return R"({"version":7,"routes":[{"name":"r-1","host":"api.example","path_prefix":"/a/",)"
         R"("route_kind":"idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,)"
         R"("service":"desk","max_attempts":2,"public":false}],)"
         R"("services":[{"name":"desk","health_path":"/healthz","max_conns":110,)"
         R"("protocol":"h1","tls":false}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"ann","api_keys":["key-ann"],"priority":1}]})";
}

/// Clients that send requests at both edges until they are destroyed.
class clients {
public:
  explicit clients(review::deployment& deployment) : m_deployment(deployment) {
    for (auto const& edge : edges) {
      m_threads.emplace_back([this, &edge] { run(edge); });
    }
  }
  clients(clients const&) = delete;
  clients& operator=(clients const&) = delete;
  ~clients() {
    m_is_stopping = true;
    for (auto& thread : m_threads) {
      thread.join();
    }
  }
  [[nodiscard]] int served() const { return m_served; }

private:
  void run(std::string const& edge) {
    constexpr milliseconds gap{40};
    while (!m_is_stopping) {
      auto const id = edge + "-" + std::to_string(++m_sent);
      auto const answer = review::exchange(
          m_deployment.ip_of(edge), m_deployment.caller_port(), "GET", "/a/x", {},
          "Host: api.example\r\nAuthorization: Bearer key-ann\r\nAttempt-Id: " + id +
              "\r\nDeadline-Ms: 1500\r\n",
          milliseconds(1500));
      m_served += answer.status == 200 ? 1 : 0;
      std::this_thread::sleep_for(gap);
    }
  }

  review::deployment& m_deployment;
  std::atomic<bool> m_is_stopping = false;
  std::atomic<int> m_sent = 0;
  std::atomic<int> m_served = 0;
  std::vector<std::thread> m_threads;
};

std::unique_ptr<review::engine> make_engine(std::string const& id, std::string const& ip,
                                            std::string const& version, std::string const& zone,
                                            review::record& record) {
  return std::make_unique<review::engine>(review::engine::options{.id = id,
                                                                  .ip = ip,
                                                                  .port = review::free_port(),
                                                                  .service = "desk",
                                                                  .version = version,
                                                                  .zone = zone},
                                          record);
}

/// The state of the rollout as one node tells it, or the status of the answer.
std::string state_of_rollout(review::deployment& deployment, std::string const& node) {
  auto const answer = deployment.call(node, "GET", "/api/Rollouts.Get/desk");
  for (auto const* state : {"running", "succeeded", "rolled_back"}) {
    if (answer.status == 200 &&
        answer.body.find("\"" + std::string(state) + "\"") != std::string::npos) {
      return state;
    }
  }
  return std::to_string(answer.status);
}

/// Sends the order until it is acknowledged, for `ack_ms` at most.
bool order(review::deployment& deployment, review::record& record) {
  auto const until = clock::now() + seconds(4);
  for (std::size_t turn = 0; clock::now() < until; ++turn) {
    auto const& node = cores.at(turn % cores.size());
    auto const answer = deployment.call(node, "POST", "/api/Rollouts.Start",
                                        R"({"service":"desk","target":"v2","duration_s":)" +
                                            std::to_string(duration_s) + "}");
    record.write("Rollouts.Start of v2 to " + node + ": " + std::to_string(answer.status));
    if (answer.status == 200) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(200));
  }
  return false;
}

void leave(review::engine& engine, review::deployment& deployment) {
  for (auto const* state : {"draining", ""}) {
    auto const path =
        std::string(*state == 0 ? "/api/Instances.Deregister/" : "/api/Instances.Heartbeat/") +
        engine.id();
    (void)review::eventually([&] {
      return deployment.call(cores.front(), "POST", path, engine.heartbeat(state)).status == 200;
    });
    std::this_thread::sleep_for(milliseconds(2000));
  }
}

bool restart(review::deployment& deployment, std::vector<std::string> const& nodes) {
  for (auto const& node : nodes) {
    deployment.send_signal(node, SIGKILL);
  }
  for (auto const& node : nodes) {
    deployment.kill(node);
  }
  std::this_thread::sleep_for(down_time);
  bool is_started = true;
  for (auto const& node : nodes) {
    is_started = deployment.start(node, false) && is_started;
  }
  return is_started;
}

verdict run(review::record& record) {
  review::deployment deployment({{"core-1", "control", "127.0.1.1", "northbridge"},
                                 {"core-2", "control", "127.0.1.2", "osborne-park"},
                                 {"core-3", "control", "127.0.1.3", "welshpool"},
                                 {"edge-1", "entry", "127.0.1.11", "northbridge"},
                                 {"edge-2", "entry", "127.0.1.12", "osborne-park"}},
                                record);
  auto const old_1 = make_engine("i-1", "127.0.1.21", "v1", "northbridge", record);
  auto const old_2 = make_engine("i-2", "127.0.1.22", "v1", "osborne-park", record);
  auto const bad_1 = make_engine("i-3", "127.0.1.23", "v2", "northbridge", record);
  auto const bad_2 = make_engine("i-4", "127.0.1.24", "v2", "osborne-park", record);
  auto const good_1 = make_engine("i-5", "127.0.1.25", "v2", "northbridge", record);
  auto const good_2 = make_engine("i-6", "127.0.1.26", "v2", "osborne-park", record);
  // `rollout_bad`: "share (.5) of its requests fail".
  bad_1->fail_percent(50);
  bad_2->fail_percent(50);
  bool const is_troubled = review::has_trouble();

  for (auto const* name : {"core-1", "core-2", "core-3", "edge-1", "edge-2"}) {
    if (!deployment.start(name, true)) {
      return verdict::could_not_run;
    }
  }
  if (!review::put_until_accepted(deployment, cores, document(), record)) {
    return verdict::could_not_run;
  }
  review::heartbeats const old_beats({old_1.get(), old_2.get()}, cores, deployment);
  bool const is_ready = review::eventually(
      [&] { return deployment.is_ready("edge-1") && deployment.is_ready("edge-2"); });
  if (!is_ready) {
    return verdict::could_not_run;
  }
  clients const callers(deployment);
  std::this_thread::sleep_for(seconds(2));

  // The first order, of a bad version.
  auto bad_beats = std::make_unique<review::heartbeats>(
      std::vector<review::engine*>{bad_1.get(), bad_2.get()}, cores, deployment);
  if (!order(deployment, record)) {
    return verdict::could_not_run;
  }
  if (!review::eventually(
          [&] { return state_of_rollout(deployment, cores.front()) == "rolled_back"; })) {
    record.write("the bad version wasn't rolled back");
    return verdict::could_not_run;
  }
  auto const rolled_back_at = clock::now();
  record.write("Rollouts.Get: rolled_back; the engines of v2 drain and leave");
  bad_beats.reset();
  leave(*bad_1, deployment);
  leave(*bad_2, deployment);

  std::this_thread::sleep_until(rolled_back_at + between_orders - calm_time - down_time);
  if (is_troubled) {
    record.write("all processes of the core are killed");
    if (!restart(deployment, cores)) {
      return verdict::could_not_run;
    }
  }
  // The second order, with other engines, which are sound.
  review::heartbeats const good_beats({good_1.get(), good_2.get()}, cores, deployment);
  std::this_thread::sleep_until(rolled_back_at + between_orders);
  if (!order(deployment, record)) {
    return verdict::could_not_run;
  }
  if (is_troubled) {
    record.write("final fault: all processes are killed");
    auto nodes = cores;
    nodes.insert(nodes.end(), edges.begin(), edges.end());
    if (!restart(deployment, nodes)) {
      return verdict::could_not_run;
    }
  }

  int stale_reads = 0;
  int good_reads = 0;
  auto const until = clock::now() + read_time;
  for (std::size_t turn = 0; clock::now() < until; ++turn) {
    auto const& node = cores.at(turn % cores.size());
    auto const state = state_of_rollout(deployment, node);
    stale_reads += state == "rolled_back" ? 1 : 0;
    good_reads += state == "running" || state == "succeeded" ? 1 : 0;
    if (turn % 8 == 0) {
      auto const run = good_1->executed() + good_2->executed();
      std::string line = "Rollouts.Get from ";
      line.append(node).append(": ").append(state).append("; run by the sound engines of v2: ");
      record.write(line + std::to_string(run));
    }
    std::this_thread::sleep_for(milliseconds(250));
  }
  record.write("reads after the order: rolled_back " + std::to_string(stale_reads) +
               ", running or succeeded " + std::to_string(good_reads) +
               "; requests served in the day: " + std::to_string(callers.served()));
  deployment.write_logs(2);
  if (stale_reads + good_reads == 0) {
    return verdict::could_not_run;
  }
  return good_reads == 0 ? verdict::broken : verdict::held;
}

} // namespace

int main(int count, char** arguments) {
  if (count != 2) {
    return static_cast<int>(verdict::could_not_run);
  }
  review::record record(arguments[1]);
  auto const result = run(record);
  record.write(result == verdict::broken ? "BROKEN: the acknowledged order is gone"
               : result == verdict::held ? "HELD"
                                         : "the case couldn't run");
  return static_cast<int>(result);
}
