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

/// A broken invariant aborts the program, so the seed of the run is printed from here.
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

// Every case is a whole run under faults, whose invariants abort the program when they break. One
// run is repeated by its seed in CATKINLANDING_SEED.
RC_GTEST_PROP(replica, keeps_committed_entries_under_faults, (std::uint64_t seed)) {
  std::signal(SIGABRT, print_seed);
  auto const* const seed_override = std::getenv("CATKINLANDING_SEED");
  run(seed_override != nullptr ? std::strtoull(seed_override, nullptr, 10) : seed);
}

} // namespace

} // namespace catkinlanding::testing
