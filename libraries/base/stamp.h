#pragma once

#include <libraries/base/time.h>

#include <compare>
#include <cstdint>

namespace catkinlanding::base {

/// A moment on the clock of one start of one instance. Only that start can tell how long ago it
/// was; everybody else hands it back unread.
struct stamp {
  /// Grows with each start of the instance.
  std::uint64_t incarnation = 0;
  base::duration time{};

  auto operator<=>(stamp const&) const = default;

  template<class Archive>
  void serialize(Archive& archive) {
    archive(incarnation, time);
  }
};

} // namespace catkinlanding::base
