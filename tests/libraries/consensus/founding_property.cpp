#include <tests/support/replica_group.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace catkinlanding::testing {

namespace {

constexpr int steps_per_run = 1500;
constexpr std::uint64_t runs_per_case = 5;
std::uint64_t current_seed = 0;

/// A broken invariant aborts the process, so the signal handler prints the seed of the run.
void print_seed(int /*signal*/) {
  std::fprintf(stderr, "seed of this run: %llu\n", static_cast<unsigned long long>(current_seed));
  std::_Exit(EXIT_FAILURE);
}

void run(std::uint64_t seed) {
  current_seed = seed;
  auto group = replica_group::unfounded(seed);
  for (int i = 0; i < steps_per_run; ++i) {
    group.step();
  }
  group.heal();
}

// Guards against an acknowledged entry that is lost with one disk while the group is founded, and
// against a core that waits for ever once all machines are back. To repeat a run, set
// CATKINLANDING_SEED to its seed.
RC_GTEST_PROP(founding, loses_nothing_with_a_disk_and_ends_with_a_group, (std::uint64_t seed)) {
  std::signal(SIGABRT, print_seed);
  auto const* const seed_override = std::getenv("CATKINLANDING_SEED");
  if (seed_override != nullptr) {
    run(std::strtoull(seed_override, nullptr, 10));
    return;
  }
  for (std::uint64_t i = 0; i < runs_per_case; ++i) {
    run(seed + i);
  }
}

} // namespace

} // namespace catkinlanding::testing
