#include <tests/support/operator_calls.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <stdexcept>
#include <string>
#include <thread>

// Measures elections, changes and restarts with three control instances that run as separate
// processes on loopback.

namespace catkinlanding::control_times {

namespace {

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::duration<double, std::milli>;

constexpr int election_count = 20;
constexpr catalogue::revision change_count = 10'000;

std::vector<std::string> const ids{"a1", "b1", "c1"};

void print(char const* name, std::vector<milliseconds> samples) {
  std::ranges::sort(samples);
  std::printf("| %s | %zu | %.1f ms | %.1f ms |\n", name, samples.size(),
              samples[samples.size() / 2].count(), samples.back().count());
}

std::string wait_for_leader(testing::deployment const& deployment) {
  std::optional<std::string> found;
  if (!testing::eventually(
          [&] { return (found = testing::leader_of(deployment, ids)).has_value(); })) {
    throw std::runtime_error("there is no leader");
  }
  return *found;
}

/// Waits longer than an election timeout, as a restarted voter doesn't vote before it has passed.
void wait_until_all_vote(testing::deployment const& deployment) {
  constexpr std::chrono::seconds settling_time{2};
  std::this_thread::sleep_for(settling_time);
  wait_for_leader(deployment);
}

/// Returns the time from sending the signal to the leader until another instance is leader and has
/// a lease.
milliseconds time_to_new_leader(testing::deployment& deployment, int signal) {
  auto const old_leader = wait_for_leader(deployment);
  auto const start = clock::now();
  deployment.instance(old_leader).send_signal(signal);
  std::vector<std::string> others;
  std::ranges::copy_if(ids, std::back_inserter(others), [&](auto& id) { return id != old_leader; });
  while (!testing::leader_of(deployment, others)) {
  }
  auto const elapsed = clock::now() - start;
  deployment.instance(old_leader).wait();
  deployment.start_instance(old_leader);
  wait_until_all_vote(deployment);
  return elapsed;
}

std::vector<milliseconds> times_to_apply_changes(testing::deployment const& deployment) {
  auto const leader = wait_for_leader(deployment);
  std::vector<milliseconds> samples;
  for (catalogue::revision i = 0; i < change_count; ++i) {
    auto const start = clock::now();
    auto const change = testing::model_change("c" + std::to_string(i % 100), i);
    auto change_with_id = change;
    change_with_id.id = {std::to_string(i)};
    while (!testing::try_apply(deployment, leader, change_with_id)) {
    }
    samples.emplace_back(clock::now() - start);
  }
  return samples;
}

milliseconds time_to_restart(testing::deployment& deployment) {
  for (auto const& id : ids) {
    deployment.instance(id).kill();
  }
  auto const start = clock::now();
  deployment.start_all_instances();
  while (true) {
    auto const leader = testing::leader_of(deployment, ids);
    auto const reply = leader
                           ? testing::send_command(deployment, *leader, operators::show_catalogue{})
                           : std::nullopt;
    auto const* shown = reply ? std::get_if<operators::catalogue_reply>(&*reply) : nullptr;
    if (shown != nullptr && shown->document.revision() == change_count) {
      return clock::now() - start;
    }
  }
}

void run() {
  testing::deployment deployment({{.id = "a1", .zone = "a", .is_control = true},
                                  {.id = "b1", .zone = "b", .is_control = true},
                                  {.id = "c1", .zone = "c", .is_control = true}});
  deployment.start_all_instances();
  deployment.found();
  std::printf("| what | samples | median | worst |\n|---|---|---|---|\n");
  std::vector<milliseconds> times_after_kill;
  std::vector<milliseconds> times_after_termination;
  for (int i = 0; i < election_count; ++i) {
    times_after_kill.push_back(time_to_new_leader(deployment, SIGKILL));
    times_after_termination.push_back(time_to_new_leader(deployment, SIGTERM));
  }
  print("new leader after SIGKILL", std::move(times_after_kill));
  print("new leader after SIGTERM", std::move(times_after_termination));
  print("change recorded, at the leader", times_to_apply_changes(deployment));
  print("all instances restarted after 10,000 changes", {time_to_restart(deployment)});
}

} // namespace

} // namespace catkinlanding::control_times

int main() {
  catkinlanding::control_times::run();
}
