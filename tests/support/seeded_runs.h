#pragma once

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>

/// Runs of a simulation in which a broken invariant aborts the process.
namespace catkinlanding::testing {

inline std::uint64_t current_seed = 0;

/// Calls `run` with this many seeds from the first one on, or only with that of the environment
/// variable CATKINLANDING_SEED, to repeat a run. Prints the seed of a run that aborts.
inline void run_seeds(std::uint64_t first, std::uint64_t count,
                      std::function<void(std::uint64_t)> const& run) {
  std::signal(SIGABRT, [](int /*signal*/) {
    std::fprintf(stderr, "seed of this run: %llu\n", static_cast<unsigned long long>(current_seed));
    std::_Exit(EXIT_FAILURE);
  });
  auto const* const seed_override = std::getenv("CATKINLANDING_SEED");
  if (seed_override != nullptr) {
    first = std::strtoull(seed_override, nullptr, 10);
    count = 1;
  }
  for (std::uint64_t i = 0; i < count; ++i) {
    current_seed = first + i;
    run(current_seed);
  }
}

} // namespace catkinlanding::testing
