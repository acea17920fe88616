#include <tests/support/deployment.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <unistd.h>

// Measures memory and CPU use of idle daemons on loopback, in deployments of increasing size with
// three zones, three voters and two relays in each zone.

namespace catkinlanding::process_costs {

namespace {

constexpr std::array<int, 4> sizes{9, 18, 27, 36};
constexpr int zones = 3;
constexpr int voters = 3;
constexpr int relays = 6;
constexpr std::chrono::seconds settling_time{5};
constexpr std::chrono::seconds observation_time{10};

std::string instance_name(int index) {
  return "i" + std::to_string(index);
}

std::vector<testing::deployment::instance_plan> instance_plans(int size) {
  std::vector<testing::deployment::instance_plan> all;
  all.reserve(static_cast<std::size_t>(size));
  for (int i = 0; i < size; ++i) {
    all.push_back({.id = instance_name(i),
                   .zone = "zone-" + std::to_string(i % zones),
                   .is_control = i < voters,
                   .is_relay = i >= voters && i < voters + relays});
  }
  return all;
}

/// Resident memory of the process in KiB.
long resident_memory_kib(int process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string field;
  long value = 0;
  while (status >> field) {
    if (field == "VmRSS:") {
      status >> value;
      return value;
    }
  }
  throw std::runtime_error("no memory of a process");
}

/// CPU time used by the process so far, in seconds.
double processor_seconds(int process) {
  std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
  std::string text;
  std::getline(stat, text);
  // The process name in parentheses may contain spaces and parentheses, so parsing starts after the
  // last one. utime and stime are fields 14 and 15, that is 12 and 13 after the name.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  constexpr int skipped_fields = 11;
  for (int i = 0; i < skipped_fields; ++i) {
    fields >> text;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void measure(int size) {
  testing::deployment deployment(instance_plans(size));
  deployment.start_all_instances();
  deployment.found();
  auto const applied = deployment.apply("i0", R"({"models": [
      {"id": "model", "owner": "ops", "class": "interactive"}]})");
  std::this_thread::sleep_for(settling_time);
  std::vector<double> before;
  before.reserve(static_cast<std::size_t>(size));
  for (int i = 0; i < size; ++i) {
    before.push_back(processor_seconds(deployment.instance(instance_name(i)).id()));
  }
  std::this_thread::sleep_for(observation_time);
  struct role {
    char const* name;
    int first;
    int last;
  };
  for (auto const& role : {role{"control", 0, voters}, role{"relay", voters, voters + relays},
                           role{"entry", voters + relays, size}}) {
    long memory = 0;
    double processor = 0;
    for (int i = role.first; i < role.last; ++i) {
      auto const process = deployment.instance(instance_name(i)).id();
      memory = std::max(memory, resident_memory_kib(process));
      processor =
          std::max(processor, processor_seconds(process) - before[static_cast<std::size_t>(i)]);
    }
    if (role.first < role.last) {
      std::printf("| %d | %s | %.1f MB | %.2f %% | %s |\n", size, role.name,
                  static_cast<double>(memory) / 1024, 100 * processor / observation_time.count(),
                  applied.exit_code == 0 ? "yes" : "no");
    }
  }
  std::fflush(stdout);
}

void run() {
  std::printf("| processes | role | largest memory | most of a core | in force everywhere |\n"
              "|---|---|---|---|---|\n");
  std::ranges::for_each(sizes, measure);
}

} // namespace

} // namespace catkinlanding::process_costs

int main() {
  catkinlanding::process_costs::run();
}
