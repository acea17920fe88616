#pragma once

namespace catkinlanding::base {

/// An invariant that `CATKINLANDING_VERIFY` found broken. The texts are static.
struct broken_invariant {
  char const* condition;
  char const* file;
  int line;
};

/// The invariant whose failure ends the process; nullptr if none has failed. May be called in a
/// signal handler.
[[nodiscard]] broken_invariant const* first_broken_invariant();

} // namespace catkinlanding::base
