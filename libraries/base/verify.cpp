#include <libraries/base/broken_invariant.h>
#include <libraries/base/verify.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace catkinlanding::base {

namespace {

std::atomic<broken_invariant const*> first_broken = nullptr;

} // namespace

broken_invariant const* first_broken_invariant() {
  return first_broken.load();
}

void fail_verification(char const* condition, char const* file, int line) {
  // Stays alive, as this function does not return.
  broken_invariant const broken{.condition = condition, .file = file, .line = line};
  broken_invariant const* none = nullptr;
  first_broken.compare_exchange_strong(none, &broken);
  std::fprintf(stderr, "invariant broken: %s at %s:%d\n", condition, file, line);
  std::abort();
}

} // namespace catkinlanding::base
