#include <tests/support/replica_group.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace catkinlanding::testing {

namespace {

constexpr int steps_per_run = 30'000;
std::uint64_t current_seed = 0;

/// A broken invariant aborts the process, so the signal handler prints the seed of the run.
void print_seed(int /*signal*/) {
  std::fprintf(stderr, "seed of this run: %llu\n", static_cast<unsigned long long>(current_seed));
  std::_Exit(EXIT_FAILURE);
}

void run(std::uint64_t seed) {
  current_seed = seed;
  replica_group group(seed);
  for (int i = 0; i < steps_per_run; ++i) {
    group.step();
  }
  group.heal();
}

// Each case is a complete run under faults; a broken invariant aborts the process. To repeat a run,
// set CATKINLANDING_SEED to its seed.
RC_GTEST_PROP(replica, keeps_committed_entries_under_faults, (std::uint64_t seed)) {
  std::signal(SIGABRT, print_seed);
  auto const* const seed_override = std::getenv("CATKINLANDING_SEED");
  run(seed_override != nullptr ? std::strtoull(seed_override, nullptr, 10) : seed);
}

} // namespace

} // namespace catkinlanding::testing
