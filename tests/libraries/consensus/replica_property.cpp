#include <tests/support/replica_group.h>
#include <tests/support/seeded_runs.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace catkinlanding::testing {

namespace {

constexpr int steps_per_run = 30'000;

void run(std::uint64_t seed) {
  replica_group group(seed);
  for (int i = 0; i < steps_per_run; ++i) {
    group.step();
  }
  group.heal();
}

// Each case is a complete run under faults; a broken invariant aborts the process. To repeat a run,
// set CATKINLANDING_SEED to its seed.
RC_GTEST_PROP(replica, keeps_committed_entries_under_faults, (std::uint64_t seed)) {
  run_seeds(seed, 1, run);
}

} // namespace

} // namespace catkinlanding::testing
